package crash

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// The methods of this file are for callers that check BlockedSuspect before each run
// and need no permit.

// RecordCrash records here that a target crashed while it ran a request that brings
// suspects, and tells the members in the background.
func (t *Table) RecordCrash(i Incident, suspects []Suspect) {
	w := Word{Target: i.Target, At: t.Clock.Now(), Crash: &Crash{Incident: i, Suspects: trackable(suspects)}}
	t.apply(w)
	for _, s := range t.toArchive(suspects) {
		t.markUnsaved(s.String())
	}
	go t.tell(w)
}

// toArchive returns what of suspects is blocked and must be so after a restart of all
// hosts: the request itself, and the part that is the likeliest cause.
func (t *Table) toArchive(suspects []Suspect) []Suspect {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspect
	isPart := func(s Suspect) bool { return s.Part != "" }
	parts := slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool { return !isPart(s) })
	requests := slices.DeleteFunc(slices.Clone(suspects), isPart)
	for _, candidates := range [][]Suspect{parts, requests} {
		if s := t.suspects.blocked(candidates, suspects, now); s != (Suspect{}) {
			out = append(out, s)
		}
	}
	return out
}

// RecordAnswer records that a target has answered after the point at which each of
// suspects would have crashed it.
func (t *Table) RecordAnswer(suspects []Suspect) {
	now := t.Clock.Now()
	clearing, archived := t.clearing(suspects, now)
	if clearing == nil {
		return
	}
	w := Word{At: now, Clearing: clearing}
	t.apply(w)
	for _, s := range archived {
		t.markUnsaved(s.String())
	}
	go t.tell(w)
}

// clearing returns the news that suspects are cleared, or nil if that clears nothing,
// and which of them may be in the archive.
func (t *Table) clearing(suspects []Suspect, now time.Time) (c *Clearing, archived []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c = t.suspects.clearing(suspects, now)
	if c == nil {
		return nil, nil
	}
	counts := t.suspects.counts(now)
	for _, s := range c.Suspects {
		if counts[s] >= maxCrashes {
			archived = append(archived, s)
		}
	}
	return c, archived
}

// BlockedSuspect returns the suspect for which a request that brings the given ones
// must not run, or the zero Suspect.
func (t *Table) BlockedSuspect(suspects []Suspect) Suspect {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.blocked(suspects, suspects, now)
}

// TakeTrial reports whether a request with the blocked suspect s may run once all the
// same. One host allows trials for all, and of hosts that are cut off from each other
// those in the majority.
func (t *Table) TakeTrial(s Suspect) bool {
	if t.Exchange.Members().Holder(suspectsKey).Name != t.Self {
		return false
	}
	if t.amongMinority() {
		t.Log.Info("no trial of a blocked suspect among a minority of hosts", zap.Stringer("Suspect", s), zap.Int("Hosts", t.Hosts()))
		return false
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.takeTrial(s, now)
}

// amongMinority reports whether this host can't reach most of the hosts.
func (t *Table) amongMinority() bool {
	return t.Hosts != nil && 2*len(t.Exchange.Members().Hosts) <= t.Hosts()
}

// tell sends w to the members.
func (t *Table) tell(w Word) {
	t.spreadNote(w)
	t.notifyMembers(context.Background(), w)
}
