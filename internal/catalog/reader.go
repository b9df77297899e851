package catalog

import (
	"context"
	"fmt"
	"slices"
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
	wait := time.Duration(pollShare * float64(f.applyTime()-pollSlack))
	if wait < minPollWait {
		return 0
	}
	return wait
}

// hostsToPoll returns the hosts that this host polls instead of reading the store,
// the one to try first in front; none if it reads the store itself. The last is the
// peer that gave the latest state when no reader could.
func (f *Follower) hostsToPoll() []peer.Host {
	if f.pollWait() == 0 {
		return nil
	}
	members := f.Members.Members()
	strong := members.Strong()
	var readers []peer.Host
	for i := range readerCount {
		h := strong.Holder(fmt.Sprint(rpcName, "/", i))
		if h.Name == f.Self {
			return nil
		}
		if !slices.Contains(readers, h) {
			readers = append(readers, h)
		}
	}
	first := peer.NewMembers(readers).Holder(f.Self)
	hosts := append([]peer.Host{first}, slices.DeleteFunc(readers, func(h peer.Host) bool { return h == first })...)
	if h, ok := members.Find(f.lastSource); ok && !slices.Contains(hosts, h) {
		hosts = append(hosts, h)
	}
	return hosts
}

// poll waits for changes at the first of hosts that has its state from the store,
// and reports whether there was one.
func (f *Follower) poll(ctx context.Context, hosts []peer.Host) bool {
	wait := f.pollWait()
	for _, h := range hosts {
		held, err := f.fetch(ctx, h, wait, wait+pollMargin)
		if hung(err, wait) {
			// No time is left for another wait, here or at the next host.
			wait = 0
			held, err = f.fetch(ctx, h, wait, pollMargin)
		}
		if err != nil {
			f.Log.Info("cannot poll reader host", zap.String("Peer", h.Name), journal.Error(err))
			continue
		}
		if held.fresh(f.pollWait()) && !f.isOfEarlierEra(held) {
			f.readsTopic.Store(!held.hasTopic() || held.tablePosition() != f.topicPosition())
			f.recordSource(h.Name)
			return true
		}
	}
	return false
}

// recordSource logs from where this host has the catalog: name is a host or, empty,
// the store.
func (f *Follower) recordSource(name string) {
	if polls := name != ""; f.pollsReader.Swap(polls) != polls || f.lastSource != name && polls {
		f.Log.Info("catalog source switched between store and reader host", zap.String("Reader", name), zap.Bool("Asking", polls))
	}
	if name != "" {
		f.lastSource = name
	}
}

// applyHeld applies the reply of a peer. If the peer has its state from the store,
// this host's state is as old as the peer's from then on, and lapsed entries are kept
// for as long as there.
func (f *Follower) applyHeld(held *Held, source Source) {
	if held.hasTopic() {
		f.applyEvacuations(TableUpdate{Full: true, Evacuations: held.Evacuations, Next: held.TableNext, Era: held.TableEra}, source)
	}
	if held.Table != nil {
		f.applyTable(held.Table, !held.hasTopic(), source)
	}
	if held.fresh(f.readWait()) && !f.isOfEarlierEra(held) {
		f.recordPeerRead(held)
	}
	// Without changes, too, the grace of lapsed entries may be over.
	f.applyTargets(TargetsUpdate{Full: held.Whole, Changes: held.Targets, Next: held.Next, Era: held.Era}, source.Name, true)
}

// recordPeerRead takes over the age and the grace of a reply that stems from the
// store.
func (f *Follower) recordPeerRead(held *Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	at := now.Add(-held.ReadAge)
	if at.After(f.lastTargetsRead) {
		f.lastTargetsRead = at
	}
	// The state of a peer that is behind was not taken over.
	if at.After(f.lastTableRead) && (!held.hasTopic() || !held.tablePosition().Before(f.tablePosition)) {
		f.lastTableRead = at
	}
	f.failing = false
	f.graceUntil = now.Add(held.GraceLeft)
}

// changesSince returns what is newer than known; f.mu is held.
func (f *Follower) changesSince(known Known) *Held {
	now := f.Clock.Now()
	held := &Held{Next: f.position.Offset, Era: f.position.Era, ReadAge: now.Sub(f.lastTargetsRead), Failing: f.failing, GraceLeft: max(0, f.graceUntil.Sub(now))}
	if age := now.Sub(f.lastTableRead); age > held.ReadAge {
		held.ReadAge = age
	}
	if f.table != nil && (f.table.Version > known.Version || f.table.Version == known.Version && known.Partial && !f.tablePartial) {
		held.Table = f.table
	}
	if !f.tablePartial {
		held.TableNext, held.TableEra, held.Evacuations = f.tablePosition.Offset, f.tablePosition.Era, f.evacuationList()
		held.evacuationsChanged = held.hasTopic() && known.TableNext != 0 && known.tablePosition(f.tablePosition.Era).Before(f.evacuationsChanged)
	}
	since := known.targetsPosition(f.position.Era)
	if !f.synced || !since.Before(f.position) {
		return held
	}
	held.Whole = since.Before(f.tombstonesFrom)
	for id, e := range f.targets {
		if !e.lapsed && (held.Whole || e.offset >= since.Offset) {
			held.Targets = append(held.Targets, TargetChange{ID: id, Target: e.atPeer(now), Offset: e.offset})
		}
	}
	if !held.Whole {
		for _, c := range f.tombstones {
			if c.Offset >= since.Offset {
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
		f.tombstonesFrom.Offset = f.tombstones[0].Offset + 1
		f.tombstones = f.tombstones[1:]
	}
}
