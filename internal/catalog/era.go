package catalog

import (
	"time"

	"go.uber.org/zap"
)

// This file handles a store that comes back from a copy some seconds old. What it had
// acknowledged since the copy was made is gone, its offsets are given out again, and its
// era rises. Operators and targets write again what was lost. Until a host has read the
// whole state of the new era it keeps what it knows; afterwards the position of that state
// replaces the former one, and beliefs that the targets' own words support remain: the
// newest entry of a target, and its removal.

// removalMemory is how long a removal is remembered. It exceeds the age of the copies from
// which the store comes back.
const removalMemory = time.Minute

// removedTarget is a target that was removed, as of its last entry.
type removedTarget struct {
	target *Target
	at     time.Time
}

// observeEra reports whether a state of a topic that is being applied is the first of a
// later era than the topic's former one, and logs that; f.mu is held.
func (f *Follower) observeEra(topic string, former, next Position, source string) bool {
	newEra := former.Era != 0 && next.Era > former.Era
	if newEra {
		f.Log.Warn("store came back from a copy; its whole state replaces the former one", zap.String("Topic", topic), zap.Int64("Era", int64(next.Era)),
			zap.Int64("FormerEra", int64(former.Era)), zap.Int64("Next", int64(next.Offset)), zap.Int64("Former", int64(former.Offset)), zap.String("Source", source))
	}
	if next.Era > f.era {
		f.era = next.Era
		if newEra && f.OnNewEra != nil {
			f.OnNewEra(f.era)
		}
	}
	return newEra
}

// isOfEarlierEra reports whether a peer's reply tells the targets of an earlier era of the
// store than this host knows.
func (f *Follower) isOfEarlierEra(held *Held) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return held.Era < f.position.Era
}

// beginTargetsEra prepares for the first whole list of a later era, if update is one: any
// entry in it counts, whatever its offset, and targets that it lacks have the time of an
// outage to register again. It reports whether the store came back from a copy; f.mu is
// held.
func (f *Follower) beginTargetsEra(update *TargetsUpdate, source string, now time.Time) bool {
	next := update.position()
	newEra := f.observeEra("targets", f.position, next, source)
	if !f.synced || next.Era == f.position.Era {
		return false
	}
	for _, r := range f.targets {
		r.offset = Start
	}
	f.position = Position{next.Era, Start}
	f.tombstones, f.tombstonesFrom = nil, next
	if grace := now.Add(lapseGrace); newEra && f.graceUntil.Before(grace) {
		f.graceUntil = grace
	}
	return newEra
}

// rememberRemoval remembers that t was removed and forgets older removals; f.mu is held.
func (f *Follower) rememberRemoval(t *Target, now time.Time) {
	for id, r := range f.removed {
		if now.Sub(r.at) > removalMemory {
			delete(f.removed, id)
		}
	}
	if f.removed == nil {
		f.removed = map[string]removedTarget{}
	}
	f.removed[t.ID] = removedTarget{t, now}
}

// removedLately reports whether t was removed lately and has written nothing since; f.mu
// is held.
func (f *Follower) removedLately(t *Target, now time.Time) bool {
	r, ok := f.removed[t.ID]
	return ok && now.Sub(r.at) <= removalMemory && !r.target.writtenBefore(t)
}
