package crash

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
)

// The methods of this file are for callers that check Blocked and BlockedPart before
// each run and need no permit.

// Break is a run that broke a target.
type Break struct {
	Digest string
	Target string
	// Born is the start of the target's incarnation in Unix milliseconds.
	Born int64
	// Parts are the parts of the request's prompt that other requests share, if the
	// target crashed before it began to answer; otherwise there are none.
	Parts []string
}

// RecordBreak records b here and tells the members in the background. It is for
// callers that check Blocked and BlockedPart before each run and need no permit.
func (t *Table) RecordBreak(b Break) {
	w := Word{BreakID: uuid.NewString(), Digest: b.Digest, Target: b.Target, At: t.Clock.Now()}
	if parts := trackable(b.Parts); len(parts) > 0 {
		w.Crash = &PartCrash{Incident: Incident{Target: b.Target, Born: b.Born}, Parts: parts}
	}
	t.apply(w)
	if t.Blocked(b.Digest) {
		t.markUnsaved(digestPrefix + b.Digest)
	}
	if part := t.BlockedPart(b.Parts); part != "" {
		t.markUnsaved(partPrefix + part)
	}
	go t.tell(w)
}

// RecordBegin records that a target has begun to answer a request with the given
// parts in its prompt.
func (t *Table) RecordBegin(parts []string) {
	now := t.Clock.Now()
	begin, archived := t.begun(parts, now)
	if begin == nil {
		return
	}
	w := Word{At: now, Begin: begin}
	t.apply(w)
	for _, p := range archived {
		t.markUnsaved(partPrefix + p)
	}
	go t.tell(w)
}

// begun returns the news that a request with parts is being answered, or nil if that
// clears nothing, and which of the parts may be in the archive.
func (t *Table) begun(parts []string, now time.Time) (begin *PartBegin, archived []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begin = t.parts.begun(parts, now)
	if begin == nil {
		return nil, nil
	}
	counts := t.parts.suspicions(now)
	for _, p := range begin.Parts {
		if counts[p] >= maxPartCrashes {
			archived = append(archived, p)
		}
	}
	return begin, archived
}

// BlockedPart returns the part for which a request with the given parts in its
// prompt must not run, or the empty string.
func (t *Table) BlockedPart(parts []string) string {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.blocked(parts, now)
}

// TakeTrial reports whether a request with the blocked part may run once all the
// same. One host allows trials for all, and of hosts that are cut off from each other
// those in the majority.
func (t *Table) TakeTrial(part string) bool {
	if t.Exchange.Members().Holder(suspectsKey).Name != t.Self {
		return false
	}
	if t.amongMinority() {
		t.Log.Info("no trial of a blocked prompt part among a minority of hosts", zap.String("Part", part), zap.Int("Hosts", t.Hosts()))
		return false
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.takeTrial(part, now)
}

// amongMinority reports whether this host can't reach most of the hosts.
func (t *Table) amongMinority() bool {
	return t.Hosts != nil && 2*len(t.Exchange.Members().Hosts) <= t.Hosts()
}

// tell sends w to the members.
func (t *Table) tell(w Word) {
	t.notifyMembers(context.Background(), w)
	t.spreadNote(w)
}
