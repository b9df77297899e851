package catalog

import (
	"context"
	"math/rand/v2"
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
	// Next is the offset up to which the host knows the targets, in Era.
	Next Offset
	Era  Era
	// TableNext is the offset up to which the host knows the operators' topic, in
	// TableEra, or Start. With zero, evacuations don't end the wait: the host is of the
	// former version and ignores them.
	TableNext Offset
	TableEra  Era
	// ComparesEras is not set by hosts of the former version, which compare offsets alone.
	ComparesEras bool
	// Partial means that the host got its configuration from a host of the former version,
	// and needs the whole configuration of the same Version again.
	Partial bool
	Wait    time.Duration
}

// Held is the reply of Fetch: what the replying host has and the requesting
// host doesn't know.
type Held struct {
	// Table is nil unless it is newer than the requested version.
	Table *Table
	// Evacuations holds all evacuations in force at TableNext, an offset in the
	// operators' topic in TableEra. Zero means that both are unknown, as from a host of
	// the former version, and never that nothing is evacuated.
	Evacuations []EvacuationChange
	TableNext   Offset
	TableEra    Era
	// evacuationsChanged is set if Evacuations changed after the requested position.
	evacuationsChanged bool
	// Whole means that Targets holds all targets up to Next; otherwise it holds the
	// changes from the requested offset up to Next.
	Whole   bool
	Targets []TargetChange
	// Next is an offset in Era.
	Next Offset
	Era  Era
	// ReadAge is how old the reply is: the time since the older of the last reads of
	// the two streams, by this host or the one that it has them from.
	ReadAge time.Duration
	// Failing means that this host reads neither the store nor a host that does.
	Failing bool
	// GraceLeft is how long entries that lapsed in an outage of the store are kept.
	GraceLeft time.Duration
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
		if !waiting || held.Failing || held.Table != nil || held.evacuationsChanged || held.Whole || len(held.Targets) > 0 {
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

// fetchFromPeers asks up to maxPeersAsked peers for what this host doesn't know,
// after it failed to read the store, until one has it from the store. It returns
// that peer.
func (f *Follower) fetchFromPeers(ctx context.Context) (source peer.Host, ok bool) {
	if f.Members == nil {
		return peer.Host{}, false
	}
	peers := f.peersToAsk()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, h := range peers[:min(len(peers), maxPeersAsked)] {
		held, err := f.fetch(ctx, h, 0, peerFetchTimeout)
		if err != nil {
			f.Log.Debug("cannot fetch catalog from peer", zap.String("Peer", h.Name), journal.Error(err))
			continue
		}
		if held.fresh(f.readWait()) && !f.isOfEarlierEra(held) {
			return h, true
		}
	}
	return peer.Host{}, false
}

// fetch asks h for what this host doesn't know, waiting up to wait for a change, and
// applies the reply.
func (f *Follower) fetch(ctx context.Context, h peer.Host, wait, timeout time.Duration) (*Held, error) {
	known := f.known(wait)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	held := &Held{}
	start := f.Clock.Now()
	if err := f.Peers.CallOrDisconnect(ctx, h.Addr, rpcName+".Fetch", known, held); err != nil {
		return nil, err
	}
	f.applyHeld(held, Source{Name: h.Name, Took: f.Clock.Since(start), ReadAge: f.tableReadAge()})
	return held, nil
}

// known returns the request of a fetch that waits up to wait for a change.
func (f *Follower) known(wait time.Duration) Known {
	targets := f.knownPosition()
	known := Known{Next: targets.Offset, Era: targets.Era, ComparesEras: true, Wait: wait}
	f.mu.Lock()
	defer f.mu.Unlock()
	known.TableNext, known.TableEra, known.Partial = f.tablePosition.Offset, f.tablePosition.Era, f.tablePartial
	if known.TableNext == 0 {
		known.TableNext = Start
	}
	if f.table != nil {
		known.Version = f.table.Version
	}
	return known
}

// targetsPosition returns the position up to which the requesting host knows the targets.
// era is that of the replying host, which counts for hosts that don't compare eras.
func (k *Known) targetsPosition(era Era) Position {
	if !k.ComparesEras {
		return Position{era, k.Next}
	}
	return Position{k.Era, k.Next}
}

// tablePosition is like targetsPosition for the operators' topic.
func (k *Known) tablePosition(era Era) Position {
	if !k.ComparesEras {
		return Position{era, k.TableNext}
	}
	return Position{k.TableEra, k.TableNext}
}

// tablePosition returns the position in the operators' topic as of which the reply tells
// the evacuations.
func (h *Held) tablePosition() Position { return Position{h.TableEra, h.TableNext} }

// hasTopic reports whether the reply holds the whole state of the operators' topic as of
// TableNext. Replies of hosts of the former version don't.
func (h *Held) hasTopic() bool { return h.TableNext > 0 }

// fresh reports whether the reply is as good as a read of the store that waited for
// the given time: a host that has lost the store may not know the latest state.
func (h *Held) fresh(wait time.Duration) bool { return !h.Failing && h.ReadAge <= wait+readTimeout }
