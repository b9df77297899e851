package catalog

import (
	"context"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// serviceName is the name of the relay among the RPC services of a host.
const serviceName = "Catalog"

// Known says what a host has already.
type Known struct {
	Version int64
}

// Held is what a host has.
type Held struct {
	// Table is nil unless it is later than the asker's.
	Table *Table
	// Whole says that the host has read the targets; Next is the offset up to
	// which Targets hold.
	Whole   bool
	Targets []TargetChange
	Next    Offset
	// ReadAge is the time since the host last read the targets from the store.
	ReadAge time.Duration
}

// Relay is the RPC service of a Follower. Hosts that the store turns away get
// from it what others have read.
type Relay struct{ f *Follower }

// Fetch returns what the host has.
func (r *Relay) Fetch(known Known, reply *Held) error {
	f := r.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && f.table.Version > known.Version {
		reply.Table = f.table
	}
	reply.Whole = f.whole
	reply.ReadAge = f.Clock.Since(f.lastRead)
	for id, row := range f.targets {
		if !row.lapsed {
			reply.Targets = append(reply.Targets, TargetChange{ID: id, Target: row.target, Offset: row.offset})
		}
		reply.Next = max(reply.Next, row.offset)
	}
	return nil
}

// peers returns the other members and the first contacts: a host that has not
// joined knows only these.
func (f *Follower) peers() []peer.Host {
	hosts := f.Members.Members().Hosts
	for _, seed := range f.Seeds {
		if !slices.ContainsFunc(hosts, func(h peer.Host) bool { return h.Name == seed.Name }) {
			hosts = append(slices.Clone(hosts), seed)
		}
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h peer.Host) bool { return h.Name == f.Self })
}

// relay asks the peers for what they have once reads have failed more than once
// in a row, and reports whether one of them reads the store. Peers that are as
// badly off answer with what is known already.
func (f *Follower) relay(ctx context.Context, failures int) (peerReads bool) {
	if failures < relayAfter || f.Members == nil {
		return false
	}
	for _, h := range f.peers() {
		known := Known{}
		if t := f.Snapshot().Table; t != nil {
			known.Version = t.Version
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		held := &Held{}
		err := f.Peers.Call(callCtx, h.Addr, serviceName+".Fetch", known, held)
		cancel()
		if err != nil {
			f.Log.Debug("peer has no catalog to relay", zap.String("Peer", h.Name), journal.Error(err))
			continue
		}
		if held.Table != nil {
			f.TakeTable(held.Table, h.Name)
		}
		if held.Whole {
			f.TakeTargets(TargetNews{Whole: true, Changes: held.Targets, Next: held.Next})
			peerReads = peerReads || held.ReadAge < f.wait()+readTimeout
		}
	}
	return peerReads
}
