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
}

// followTargets reads the stream of targets, or polls a reader, until ctx ends.
func (f *Follower) followTargets(ctx context.Context) {
	next := Start
	reads := streamReads{log: f.Log, name: "target stream"}
	for ctx.Err() == nil {
		if hosts := f.hostsToPoll(); len(hosts) > 0 && next != Start {
			if f.poll(ctx, hosts) {
				continue
			}
			next, reads.wait = f.knownOffset(), 0
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
			next = update.Next
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
// entry has lapsed, the read ends with its grace, so that it is then removed.
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

// knownOffset returns the offset up to which the targets are known.
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
func (f *Follower) ApplyTargets(update TargetsUpdate) { f.applyTargets(update, false) }

// applyTargets applies the result of a read of the targets, by this host or by a
// peer. A peer may be behind: an entry from before this host's position that this
// host doesn't have was removed since.
func (f *Follower) applyTargets(update TargetsUpdate, fromPeer bool) {
	f.mu.Lock()
	now := f.Clock.Now()
	if f.targets == nil {
		f.targets = map[string]*targetEntry{}
	}
	changed := !f.synced
	seen := map[string]bool{}
	for _, c := range update.Changes {
		seen[c.ID] = true
		if fromPeer && f.synced && f.targets[c.ID] == nil && c.Offset < f.position {
			continue
		}
		changed = f.applyChange(c, now) || changed
	}
	if update.Full {
		f.synced = true
		for id, r := range f.targets {
			if !seen[id] && r.offset < update.Next {
				// The removal has no offset, so polling hosts need the full list, and
				// entries from before the list are older than the removal.
				f.tombstonesFrom = max(f.tombstonesFrom, update.Next)
				r.offset = update.Next
				changed = f.removeOrLapse(id, r, now) || changed
			}
		}
	}
	changed = f.removeLapsed(now) || changed
	if update.Next > f.position {
		f.position = update.Next
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

// applyChange applies one entry and reports whether the snapshot changes; f.mu
// is held.
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
		f.targets[c.ID] = &targetEntry{target: c.Target, offset: c.Offset, coldAt: now}
		f.notifyEntry(c.Target)
		f.logTarget("target registered", c.Target)
		return true
	}
	if c.Target.writtenBefore(r.target) {
		return false
	}
	old := *r
	r.target, r.offset, r.lapsed = c.Target, c.Offset, false
	if old.target.writtenBefore(c.Target) {
		r.coldAt = now
		f.notifyEntry(c.Target)
	} else {
		// The same entry was read again. Its cold time counts from the first read.
		r.target = withCold(c.Target, old.target.Cold)
	}
	if sameButSequence(old.target, c.Target) && !old.lapsed {
		return false
	}
	f.logTarget("target changed", c.Target)
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
	if !r.target.Leaving && now.Before(f.graceUntil) {
		if !r.lapsed {
			r.lapsed = true
			f.logTarget("target entry lapsed during a store outage; keeping target", r.target)
		}
		return false
	}
	f.logTarget("target gone", r.target)
	delete(f.targets, id)
	return true
}

// removeLapsed removes the lapsed entries once their grace is over and reports
// whether the snapshot changes; f.mu is held.
func (f *Follower) removeLapsed(now time.Time) bool {
	if now.Before(f.graceUntil) {
		return false
	}
	changed := false
	for id, r := range f.targets {
		if r.lapsed {
			f.logTarget("target gone after a store outage", r.target)
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
