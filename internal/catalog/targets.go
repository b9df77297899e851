package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// row is a target as the follower keeps it.
type targetEntry struct {
	target *Target
	offset Offset
	// lapsed says that the entry lapsed in an outage of the store.
	lapsed bool
}

// followTargets reads the targets.
func (f *Follower) followTargets(ctx context.Context) {
	next, wait := Start, time.Duration(0)
	link := &dependency{log: f.Log, name: "target stream"}
	for ctx.Err() == nil {
		if h, ok := f.readerToPoll(); ok && next != Start {
			answered := f.pollReader(ctx, h)
			if f.pollsReader.Swap(answered) != answered {
				f.Log.Info("reading of the store changed hands", zap.String("Reader", h.Name), zap.Bool("Asking", answered))
			}
			if answered {
				continue
			}
			next, wait = f.knownOffset(), 0
		} else {
			f.pollsReader.Store(false)
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		news, err := f.Feed.ReadTargets(callCtx, next, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if link.record(err) {
			f.startSettling()
		}
		if err != nil {
			f.recordOutage(f.fetchFromPeers(ctx, link.failures))
			wait = 0
			f.Clock.Sleep(ctx, retryDelay)
			continue
		}
		next = news.Next
		f.recordTargetsRead()
		f.ApplyTargets(news)
		wait = f.targetsReadWait()
		f.Clock.Sleep(ctx, targetReadInterval)
	}
}

// nextWait is how long the next read waits: a lapsed entry needs a look when its
// grace ends.
func (f *Follower) targetsReadWait() time.Duration {
	wait := f.readWait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.targets {
		if r.lapsed {
			return min(wait, max(retryDelay, f.graceUntil.Sub(f.Clock.Now())))
		}
	}
	return wait
}

// known is the offset up to which the targets are known.
func (f *Follower) knownOffset() Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced {
		return Start
	}
	return f.position
}

func (f *Follower) recordTargetsRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTargetsRead = f.Clock.Now()
}

// noteFailure takes a failed read for an outage of the store, in which entries
// lapse, unless a peer can read it.
func (f *Follower) recordOutage(peerReads bool) {
	if peerReads {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceUntil = f.Clock.Now().Add(lapseGrace)
}

// TakeTargets applies what was read of the targets.
func (f *Follower) ApplyTargets(news TargetsUpdate) {
	f.mu.Lock()
	now := f.Clock.Now()
	if f.targets == nil {
		f.targets = map[string]*targetEntry{}
	}
	changed := !f.synced
	seen := map[string]bool{}
	for _, c := range news.Changes {
		seen[c.ID] = true
		changed = f.applyChange(c, now) || changed
	}
	if news.Full {
		f.synced = true
		for id, r := range f.targets {
			if !seen[id] && r.offset < news.Next {
				// Its removal has no offset; askers need the whole list.
				f.tombstonesFrom = max(f.tombstonesFrom, news.Next)
				changed = f.removeOrLapse(id, r, now) || changed
			}
		}
	}
	changed = f.removeLapsed(now) || changed
	if news.Next > f.position {
		f.position = news.Next
		f.notifyWaiters()
	}
	if changed {
		f.publish()
	}
	f.mu.Unlock()
	if changed {
		f.notifyChange()
	}
}

// change applies one entry and reports whether the snapshot differs; f.mu is held.
func (f *Follower) applyChange(c TargetChange, now time.Time) bool {
	r := f.targets[c.ID]
	if c.Unreadable || r != nil && c.Offset < r.offset {
		return false
	}
	if c.Target == nil {
		if r == nil {
			return false
		}
		r.offset = c.Offset
		f.addTombstone(c)
		return f.removeOrLapse(c.ID, r, now)
	}
	if r == nil {
		f.targets[c.ID] = &targetEntry{target: c.Target, offset: c.Offset}
		f.logTarget("target registered", c.Target)
		return true
	}
	if c.Target.writtenBefore(r.target) {
		return false
	}
	old := *r
	r.target, r.offset, r.lapsed = c.Target, c.Offset, false
	if sameButSequence(old.target, c.Target) && !old.lapsed {
		return false
	}
	f.logTarget("target changed", c.Target)
	return true
}

// same reports whether only the sequences of two entries differ.
func sameButSequence(a, b *Target) bool {
	c := *b
	c.Sequence = a.Sequence
	return *a == c
}

// remove takes the entry out, or lets it lapse if the store was away lately;
// f.mu is held.
func (f *Follower) removeOrLapse(id string, r *targetEntry, now time.Time) bool {
	if !r.target.Leaving && now.Before(f.graceUntil) {
		if !r.lapsed {
			r.lapsed = true
			f.logTarget("target's entry lapsed in an outage", r.target)
		}
		return false
	}
	f.logTarget("target gone", r.target)
	delete(f.targets, id)
	return true
}

// expire takes out the entries that lapsed and did not come back; f.mu is held.
func (f *Follower) removeLapsed(now time.Time) bool {
	if now.Before(f.graceUntil) {
		return false
	}
	changed := false
	for id, r := range f.targets {
		if r.lapsed {
			f.logTarget("target gone after an outage", r.target)
			delete(f.targets, id)
			changed = true
		}
	}
	return changed
}

func (f *Follower) logTarget(event string, t *Target) {
	f.Log.Info(event, zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Stringer("Addr", t.Addr),
		zap.Bool("Leaving", t.Leaving), zap.Int64("Born", t.Born), zap.Int64("Sequence", t.Sequence))
}
