package catalog

import (
	"context"
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Where many hosts run, a few read the store and the others wait at these for
// what is new: each read has its price, and each change would wake every host.
const (
	// askFrom is the number of hosts from which on most of them ask others.
	minHostsForReaders = 16
	// readers is the number of hosts that read for the others.
	readerCount = 2
	// askSlack is left of the time in which a change has to be in force when the
	// waits of reader and asker have passed; askShare is the share of the rest
	// that each of the two waits takes, so that a reader that lost the store just
	// after a read is found in time.
	pollSlack = 1200 * time.Millisecond
	pollShare = 4.0 / 9
	// minAsk is the least wait for which asking is worth its calls.
	minPollWait = 250 * time.Millisecond
	// askMargin bounds an ask beyond its wait.
	pollMargin = 300 * time.Millisecond
	// maxTombs bounds the removals that are remembered for askers.
	maxTombstones = 256
)

// askWait is how long a reader's read of the store, and an ask at a reader, wait
// for a change; zero if this host is on its own.
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

// reader returns the host to ask, if this host has to.
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
	own := peer.NewMembers(hosts).Holder(f.Self)
	return own, true
}

// ask waits at a reader for what is new and reports whether the answer stands
// for the store: a reader that no longer reads it may not know what is.
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
		f.Log.Info("reader of the store does not answer", zap.String("Peer", h.Name), journal.Error(err))
		return false
	}
	f.applyHeld(held, h.Name)
	return held.ReadAge <= wait+readTimeout
}

// takeHeld applies what a peer has.
func (f *Follower) applyHeld(held *Held, source string) {
	if held.Table != nil {
		f.ApplyTable(held.Table, source)
	}
	if held.Whole || len(held.Targets) > 0 {
		f.ApplyTargets(TargetsUpdate{Full: held.Whole, Changes: held.Targets, Next: held.Next})
	}
}

// since returns what is newer than known; f.mu is held.
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
	for id, row := range f.targets {
		if !row.lapsed && (held.Whole || row.offset >= known.Next) {
			held.Targets = append(held.Targets, TargetChange{ID: id, Target: row.target, Offset: row.offset})
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

// news returns a channel that is closed at the next change; f.mu is held.
func (f *Follower) changeSignal() <-chan struct{} {
	if f.changedCh == nil {
		f.changedCh = make(chan struct{})
	}
	return f.changedCh
}

// wake tells those that wait for news; f.mu is held.
func (f *Follower) notifyWaiters() {
	if f.changedCh != nil {
		close(f.changedCh)
		f.changedCh = nil
	}
}

// bury remembers a removal for askers; f.mu is held.
func (f *Follower) addTombstone(c TargetChange) {
	f.tombstones = append(f.tombstones, c)
	if len(f.tombstones) > maxTombstones {
		f.tombstonesFrom = f.tombstones[0].Offset + 1
		f.tombstones = f.tombstones[1:]
	}
}
