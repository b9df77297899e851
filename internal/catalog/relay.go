package catalog

import (
	"context"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// rpcName is the name of Relay as an RPC service.
const rpcName = "Catalog"

// Known is the request of Fetch: the state that the requesting host has already
// and how long it waits for a change.
type Known struct {
	// Version is the version of the configuration in force.
	Version int64
	// Next is the offset up to which the host knows the targets.
	Next Offset
	Wait time.Duration
}

// Held is the reply of Fetch: what the replying host has and the requesting
// host doesn't know.
type Held struct {
	// Table is nil unless it is newer than the requested version.
	Table *Table
	// Whole means that Targets holds all targets up to Next; otherwise it holds the
	// changes from the requested offset up to Next.
	Whole   bool
	Targets []TargetChange
	Next    Offset
	// ReadAge is the time since the older of the last reads of the two streams.
	ReadAge time.Duration
}

// Relay is the RPC service of a Follower. Hosts that the store rejects, and
// those that poll a reader, get from it what this host has read.
type Relay struct{ f *Follower }

// Fetch replies once this host has something that the requesting host doesn't
// know, or when the requested wait is over.
func (r *Relay) Fetch(known Known, reply *Held) error {
	f := r.f
	timeout, stop := f.Clock.After(known.Wait)
	defer stop()
	for waiting := known.Wait > 0; ; {
		f.mu.Lock()
		held, changed := f.changesSince(known), f.changeSignal()
		f.mu.Unlock()
		if !waiting || held.Table != nil || held.Whole || len(held.Targets) > 0 {
			*reply = *held
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		}
	}
}

// peersToAsk returns the other members and the seed hosts; a host that has not
// joined yet knows only the seeds.
func (f *Follower) peersToAsk() []peer.Host {
	hosts := f.Members.Members().Hosts
	for _, seed := range f.Seeds {
		if !slices.ContainsFunc(hosts, func(h peer.Host) bool { return h.Name == seed.Name }) {
			hosts = append(slices.Clone(hosts), seed)
		}
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h peer.Host) bool { return h.Name == f.Self })
}

// fetchFromPeers fetches the state of the peers once peerFetchAfter reads in a
// row have failed, and reports whether one of the peers can read the store.
// Peers that can't read it either return what is already known.
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
			f.Log.Debug("cannot fetch catalog from peer", zap.String("Peer", h.Name), journal.Error(err))
			continue
		}
		f.applyHeld(held, h.Name)
		peerReads = peerReads || held.ReadAge < f.readWait()+readTimeout
	}
	return peerReads
}
