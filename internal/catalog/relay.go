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
const rpcName = "Catalog"

// Known says what a host has already, and how long it waits for more.
type Known struct {
	Version int64
	// Next is the offset up to which the host knows the targets.
	Next Offset
	Wait time.Duration
}

// Held is what a host has that the asker doesn't know.
type Held struct {
	// Table is nil unless it is later than the asker's.
	Table *Table
	// Whole says that Targets are all targets up to Next; otherwise they are the
	// changes from the asker's offset up to there.
	Whole   bool
	Targets []TargetChange
	Next    Offset
	// ReadAge is the time since the host last read both streams of the store.
	ReadAge time.Duration
}

// Relay is the RPC service of a Follower. Hosts that the store turns away, and
// those that leave the reading to others, get from it what the host has read.
type Relay struct{ f *Follower }

// Fetch returns what the host has, once it has what the asker doesn't know or
// the asker's wait is over.
func (r *Relay) Fetch(known Known, reply *Held) error {
	f := r.f
	over, stop := f.Clock.After(known.Wait)
	defer stop()
	for waiting := known.Wait > 0; ; {
		f.mu.Lock()
		held, news := f.changesSince(known), f.changeSignal()
		f.mu.Unlock()
		if !waiting || held.Table != nil || held.Whole || len(held.Targets) > 0 {
			*reply = *held
			return nil
		}
		select {
		case <-news:
		case <-over:
			waiting = false
		}
	}
}

// peers returns the other members and the first contacts: a host that has not
// joined knows only these.
func (f *Follower) peersToAsk() []peer.Host {
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
func (f *Follower) fetchFromPeers(ctx context.Context, failures int) (peerReads bool) {
	if failures < peerFetchAfter || f.Members == nil {
		return false
	}
	for _, h := range f.peersToAsk() {
		known := Known{Next: Start}
		if t := f.Snapshot().Table; t != nil {
			known.Version = t.Version
		}
		callCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		held := &Held{}
		err := f.Peers.Call(callCtx, h.Addr, rpcName+".Fetch", known, held)
		cancel()
		if err != nil {
			f.Log.Debug("peer has no catalog to relay", zap.String("Peer", h.Name), journal.Error(err))
			continue
		}
		f.applyHeld(held, h.Name)
		peerReads = peerReads || held.ReadAge < f.readWait()+readTimeout
	}
	return peerReads
}
