package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// targetEntry is the latest entry of a target with its offset.
type targetEntry struct {
	target *Target
	offset Offset
	// coldAt is the time from which the remaining cold time of target counts.
	coldAt time.Time
	// lapsed is set if the entry lapsed during an outage of the store.
	lapsed bool
	// restored is set if this host has seen the entry's removal, which the store has
	// lost. The target gets no requests while its removal may be written again.
	restored bool
}

// followTargets reads the stream of targets, or polls a reader, until ctx ends.
func (f *Follower) followTargets(ctx context.Context) {
	next := Position{Offset: Start}
	reads := streamReads{log: f.Log, name: "target stream"}
	for ctx.Err() == nil {
		if hosts := f.hostsToPoll(); len(hosts) > 0 && next.Offset != Start {
			if f.poll(ctx, hosts) {
				continue
			}
			next, reads.wait = f.knownPosition(), 0
		}
		f.recordSource("")
		var update TargetsUpdate
		switch reads.try(ctx, func(ctx context.Context) (err error) {
			update, err = f.Feed.ReadTargets(ctx, next, reads.wait)
			return err
		}) {
		case readFailed:
			source, ok := f.fetchFromPeers(ctx)
			f.lastSource = source.Name
			f.recordReadFailure(ok)
			f.Clock.Sleep(ctx, f.retryPause())
		case readDone:
			next = update.position()
			f.recordTargetsRead()
			f.ApplyTargets(update)
			reads.wait = f.targetsReadWait()
			f.Clock.Sleep(ctx, targetReadInterval)
		}
	}
}

// retryPause returns the pause after a failed read. Hosts that poll
// readers are many, and each read of the store has a cost.
func (f *Follower) retryPause() time.Duration {
	if f.pollWait() > 0 {
		return pollerRetryDelay
	}
	return retryDelay
}

// targetsReadWait returns how long the next read of the targets waits. If an
// entry has lapsed or is restored, the read ends with its grace, so that it is then
// removed or used.
func (f *Follower) targetsReadWait() time.Duration {
	wait := f.readWait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.targets {
		if r.lapsed || r.restored {
			return min(wait, max(retryDelay, f.graceUntil.Sub(f.Clock.Now())))
		}
	}
	return wait
}

// knownPosition returns the position up to which the targets are known.
func (f *Follower) knownPosition() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced {
		return Position{Offset: Start}
	}
	return f.position
}

func (f *Follower) recordTargetsRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTargetsRead = f.Clock.Now()
	f.failing = false
}

// recordReadFailure treats a failed read as an outage of the store, in which
// entries lapse, unless a peer can read the store.
func (f *Follower) recordReadFailure(peerReads bool) {
	if peerReads {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceUntil = f.Clock.Now().Add(lapseGrace)
	if !f.failing {
		f.failing = true
		f.notifyWaiters()
	}
}

// ApplyTargets applies the result of a read of the targets from the store.
func (f *Follower) ApplyTargets(update TargetsUpdate) { f.applyTargets(update, "store", false) }

// applyTargets applies the result of a read of the targets, by this host or by a peer.
func (f *Follower) applyTargets(update TargetsUpdate, source string, fromPeer bool) {
	f.mu.Lock()
	now := f.Clock.Now()
	changed := f.acceptsTargets(&update) && f.applyEntries(update, source, fromPeer, now)
	changed = f.endGrace(now) || changed
	if changed {
		f.publish()
	}
	f.mu.Unlock()
	if changed {
		f.notifyChange()
	}
}

// acceptsTargets reports whether update can be applied: the store no longer holds the state
// of an earlier era, and the first state of a later one has to be whole; f.mu is held.
func (f *Follower) acceptsTargets(update *TargetsUpdate) bool {
	return !f.synced || update.Era == f.position.Era || update.Full && update.Era > f.position.Era
}

// applyEntries applies the entries of update and reports whether the snapshot changes. A
// peer may be behind: an entry from before this host's position that this host doesn't
// have was removed since. f.mu is held.
func (f *Follower) applyEntries(update TargetsUpdate, source string, fromPeer bool, now time.Time) bool {
	if f.targets == nil {
		f.targets = map[string]*targetEntry{}
	}
	restores := f.beginTargetsEra(&update, source, now)
	changed := !f.synced
	seen := map[string]bool{}
	for _, c := range update.Changes {
		seen[c.ID] = true
		if fromPeer && f.synced && f.targets[c.ID] == nil && c.Offset < f.position.Offset {
			continue
		}
		changed = f.applyChange(c, restores, now) || changed
	}
	if update.Full {
		changed = f.removeMissing(&update, seen, now) || changed
	}
	if f.position.Before(update.position()) {
		f.position = update.position()
		f.notifyWaiters()
	}
	return changed
}

// removeMissing removes the targets that the whole list in update lacks and reports
// whether the snapshot changes; f.mu is held.
func (f *Follower) removeMissing(update *TargetsUpdate, seen map[string]bool, now time.Time) bool {
	if !f.synced {
		f.synced = true
		f.tombstonesFrom = update.position()
	}
	changed := false
	for id, r := range f.targets {
		if seen[id] || r.offset >= update.Next {
			continue
		}
		// The removal has no offset, so polling hosts need the full list, and
		// entries from before the list are older than the removal.
		if f.tombstonesFrom.Before(update.position()) {
			f.tombstonesFrom = update.position()
		}
		r.offset = update.Next
		changed = f.removeOrLapse(id, r, now) || changed
	}
	return changed
}

// applyChange applies one entry and reports whether the snapshot changes. restores is set
// if it is of the first list since the store came back from a copy. f.mu is held.
func (f *Follower) applyChange(c TargetChange, restores bool, now time.Time) bool {
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
		return f.addEntry(c, restores, now)
	}
	if c.Target.writtenBefore(r.target) {
		// The store may have lost the newer entry, which is the target's own word.
		r.offset, r.lapsed = c.Offset, false
		return false
	}
	old := *r
	r.target, r.offset, r.lapsed = c.Target, c.Offset, false
	if old.target.writtenBefore(c.Target) {
		r.coldAt, r.restored = now, false
		f.notifyEntry(c.Target)
	} else {
		// The same entry was read again. Its cold time counts from the first read.
		r.target = withCold(c.Target, old.target.Cold)
	}
	if sameButSequence(old.target, c.Target) && !old.lapsed && old.restored == r.restored {
		return false
	}
	f.logTarget("target changed", c.Target)
	return !r.restored
}

// addEntry adds the entry of a target that is not known and reports whether the snapshot
// changes; f.mu is held.
func (f *Follower) addEntry(c TargetChange, restores bool, now time.Time) bool {
	e := &targetEntry{target: c.Target, offset: c.Offset, coldAt: now, restored: restores && f.removedLately(c.Target, now)}
	f.targets[c.ID] = e
	f.notifyEntry(c.Target)
	if e.restored {
		f.logTarget("store has lost the removal of a target; waiting for its next entry", c.Target)
		return false
	}
	f.logTarget("target registered", c.Target)
	return true
}

// sameButSequence reports whether a and b differ in their sequences and remaining cold
// times at most. Each entry renews both, which must not cause a new snapshot each time.
func sameButSequence(a, b *Target) bool {
	c := *b
	c.Sequence, c.Cold = a.Sequence, a.Cold
	return *a == c
}

// withCold returns t with the remaining cold time c.
func withCold(t *Target, c Cold) *Target {
	if t.Cold == c {
		return t
	}
	out := *t
	out.Cold = c
	return &out
}

// atPeer returns the target of e as it is sent to a peer at now. The peer counts the
// remaining cold time from the arrival of the reply.
func (e *targetEntry) atPeer(now time.Time) *Target {
	return withCold(e.target, e.target.Cold.after(now.Sub(e.coldAt)))
}

// notifyEntry calls OnEntry with the target of a new entry; f.mu is held.
func (f *Follower) notifyEntry(t *Target) {
	if f.OnEntry != nil {
		f.OnEntry(t)
	}
}

// removeOrLapse removes the entry, or marks it as lapsed if the store had an
// outage recently, and reports whether the snapshot changes; f.mu is held.
func (f *Follower) removeOrLapse(id string, r *targetEntry, now time.Time) bool {
	if !r.target.Leaving && !r.restored && now.Before(f.graceUntil) {
		if !r.lapsed {
			r.lapsed = true
			f.logTarget("target entry lapsed during a store outage; keeping target", r.target)
		}
		return false
	}
	return f.removeTarget(id, r, "target gone", now)
}

// removeTarget removes the entry and reports whether the snapshot changes; f.mu is held.
func (f *Follower) removeTarget(id string, r *targetEntry, event string, now time.Time) bool {
	f.logTarget(event, r.target)
	delete(f.targets, id)
	f.rememberRemoval(r.target, now)
	return !r.restored
}

// endGrace removes the lapsed entries, and uses the restored ones, once the grace after an
// outage is over. It reports whether the snapshot changes; f.mu is held.
func (f *Follower) endGrace(now time.Time) bool {
	if now.Before(f.graceUntil) {
		return false
	}
	changed := false
	for id, r := range f.targets {
		switch {
		case r.lapsed:
			changed = f.removeTarget(id, r, "target gone after a store outage", now) || changed
		case r.restored:
			r.restored, changed = false, true
			f.logTarget("target registered, its removal was not written again", r.target)
		}
	}
	return changed
}

func (f *Follower) logTarget(event string, t *Target) {
	f.Log.Info(event, zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Stringer("Addr", t.Addr),
		zap.Bool("Leaving", t.Leaving), zap.Int64("Born", t.Born), zap.Int64("Sequence", t.Sequence))
}
