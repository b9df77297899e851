package catalog

import (
	"context"
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// In a large cluster a few hosts, the readers, read the store, and the others
// long-poll a reader: each read of the store has a cost, and each change would
// wake every host.
const (
	// minHostsForReaders is the number of hosts from which on most of them poll a
	// reader.
	minHostsForReaders = 16
	// readerCount is the number of hosts that read the store for the others.
	readerCount = 2
	// pollSlack is the part of ApplyTime that is left after the waits of the
	// reader and of the polling host. Each of the two waits takes pollShare of the
	// rest, so that a reader that lost the store just after a read is detected in
	// time.
	pollSlack = 1200 * time.Millisecond
	pollShare = 4.0 / 9
	// minPollWait is the shortest wait for which polling is worth its calls.
	minPollWait = 250 * time.Millisecond
	// pollMargin bounds a poll beyond its wait.
	pollMargin = 300 * time.Millisecond
	// maxTombstones bounds the removals that are kept for polling hosts.
	maxTombstones = 256
)

// pollWait returns how long a reader's read of the store and a poll of a reader
// wait for a change; zero if every host reads the store for itself.
func (f *Follower) pollWait() time.Duration {
	if f.Members == nil || len(f.Members.Members().Hosts) < minHostsForReaders {
		return 0
	}
	wait := time.Duration(pollShare * float64(f.ApplyTime-pollSlack))
	if wait < minPollWait {
		return 0
	}
	return wait
}

// readerToPoll returns the reader that this host polls, if it has to poll one.
func (f *Follower) readerToPoll() (peer.Host, bool) {
	if f.pollWait() == 0 {
		return peer.Host{}, false
	}
	strong := f.Members.Members().Strong()
	var hosts []peer.Host
	for i := range readerCount {
		h := strong.Holder(fmt.Sprint(rpcName, "/", i))
		if h.Name == f.Self {
			return peer.Host{}, false
		}
		hosts = append(hosts, h)
	}
	reader := peer.NewMembers(hosts).Holder(f.Self)
	return reader, true
}

// pollReader waits for changes at the reader h and applies them. It reports
// whether the reply is as good as a read of the store: a reader that has lost
// the store may not know the latest state.
func (f *Follower) pollReader(ctx context.Context, h peer.Host) bool {
	wait := f.pollWait()
	known := Known{Next: f.knownOffset(), Wait: wait}
	if t := f.Snapshot().Table; t != nil {
		known.Version = t.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	held := &Held{}
	if err := f.Peers.Call(callCtx, h.Addr, rpcName+".Fetch", known, held); err != nil {
		f.Log.Info("cannot poll reader host", zap.String("Peer", h.Name), journal.Error(err))
		return false
	}
	f.applyHeld(held, h.Name)
	return held.ReadAge <= wait+readTimeout
}

// applyHeld applies the reply of a peer.
func (f *Follower) applyHeld(held *Held, source string) {
	if held.Table != nil {
		f.ApplyTable(held.Table, source)
	}
	if held.Whole || len(held.Targets) > 0 {
		f.ApplyTargets(TargetsUpdate{Full: held.Whole, Changes: held.Targets, Next: held.Next})
	}
}

// changesSince returns what is newer than known; f.mu is held.
func (f *Follower) changesSince(known Known) *Held {
	held := &Held{Next: f.position, ReadAge: f.Clock.Since(f.lastTargetsRead)}
	if age := f.Clock.Since(f.lastTableRead); age > held.ReadAge {
		held.ReadAge = age
	}
	if f.table != nil && f.table.Version > known.Version {
		held.Table = f.table
	}
	if !f.synced || known.Next == f.position {
		return held
	}
	held.Whole = known.Next < f.tombstonesFrom || known.Next > f.position
	for id, e := range f.targets {
		if !e.lapsed && (held.Whole || e.offset >= known.Next) {
			held.Targets = append(held.Targets, TargetChange{ID: id, Target: e.target, Offset: e.offset})
		}
	}
	if !held.Whole {
		for _, c := range f.tombstones {
			if c.Offset >= known.Next {
				held.Targets = append(held.Targets, c)
			}
		}
	}
	return held
}

// changeSignal returns a channel that is closed at the next change; f.mu is
// held.
func (f *Follower) changeSignal() <-chan struct{} {
	if f.changedCh == nil {
		f.changedCh = make(chan struct{})
	}
	return f.changedCh
}

// notifyWaiters closes the channel that changeSignal returned; f.mu is held.
func (f *Follower) notifyWaiters() {
	if f.changedCh != nil {
		close(f.changedCh)
		f.changedCh = nil
	}
}

// addTombstone keeps a removal for polling hosts; f.mu is held.
func (f *Follower) addTombstone(c TargetChange) {
	f.tombstones = append(f.tombstones, c)
	if len(f.tombstones) > maxTombstones {
		f.tombstonesFrom = f.tombstones[0].Offset + 1
		f.tombstones = f.tombstones[1:]
	}
}
