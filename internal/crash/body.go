package crash

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"
)

// body is the record of one digest.
type body struct {
	// breaks holds the updates that count, oldest first, at most MaxTargets.
	breaks      []Word
	lastBreakAt time.Time
	// clearedAt is the time of the last run to completion; earlier breaks don't
	// count.
	clearedAt time.Time
}

// Blocked reports whether a body with this digest must not run again.
func (t *Table) Blocked(digest string) bool { return t.breaks(digest) >= MaxTargets }

// Suspect reports whether a body with this digest has broken a target.
func (t *Table) Suspect(digest string) bool { return t.breaks(digest) > 0 }

func (t *Table) breaks(digest string) int {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.find(digest, now); b != nil {
		return len(b.breaks)
	}
	return 0
}

// find returns the body, or nil if it is unknown or expired. The caller holds
// t.mu.
func (t *Table) find(digest string, now time.Time) *body {
	if t.bodies == nil {
		return nil
	}
	b, ok := t.bodies.Peek(digest)
	if !ok || now.Sub(b.lastBreakAt) > bodyLifetime {
		return nil
	}
	return b
}

// getOrCreate returns the body, adding it if necessary, and sets the time of its
// last break. The caller holds t.mu.
func (t *Table) getOrCreate(digest string, now time.Time) *body {
	if t.bodies == nil {
		t.bodies, _ = simplelru.NewLRU[string, *body](maxBodies, nil)
	}
	b := t.find(digest, now)
	if b == nil {
		b = &body{}
	}
	t.bodies.Add(digest, b)
	b.lastBreakAt = now
	return b
}

// applyToBody applies what w says of the body with its digest.
func (t *Table) applyToBody(w Word) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.BreakID == "" {
		if b := t.find(w.Digest, now); b != nil {
			b.clear(w.At)
		}
		return
	}
	b := t.getOrCreate(w.Digest, now)
	if !b.addBreak(w) {
		return
	}
	t.Log.Info("break recorded", zap.String("BreakID", w.BreakID), zap.String("Digest", w.Digest), zap.String("Target", w.Target),
		zap.Time("At", w.At), zap.Int("Breaks", len(b.breaks)))
}

func (b *body) clear(at time.Time) {
	b.breaks = nil
	b.clearedAt = at
}

// addBreak adds the break w unless the body has it, or MaxTargets breaks, or was cleared
// since. It reports whether it did.
func (b *body) addBreak(w Word) bool {
	if !w.At.After(b.clearedAt) || len(b.breaks) >= MaxTargets || slices.ContainsFunc(b.breaks, w.sameCrash) {
		return false
	}
	b.breaks = append(b.breaks, w)
	return true
}

// sameCrash reports whether w and other are one break, or the breaks of two runs of a
// body that were under way at a target at the same time. What ended one of these ended
// the other, and the body, if it is the cause, crashed the target once.
func (w Word) sameCrash(other Word) bool {
	if w.BreakID == other.BreakID {
		return true
	}
	return w.Target == other.Target && w.BeganAt.Before(other.At) && other.BeganAt.Before(w.At)
}

// Clear removes the breaks of a body that ran to completion.
func (t *Table) Clear(digest string) {
	if !t.Suspect(digest) {
		return
	}
	w := Word{Digest: digest, At: t.Clock.Now()}
	t.apply(w)
	t.spreadNote(w)
}
