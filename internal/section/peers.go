package section

import (
	"context"
	"sort"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cespare/xxhash/v2"
)

// RPCName is the name under which a host registers a Service with net/rpc.
const RPCName = "Section"

// Service is the RPC service through which hosts catch up from each other and
// operators query what is in force.
type Service struct{ Follower *Follower }

// FetchArgs requests everything newer than From.
type FetchArgs struct{ From platform.Offset }

// FetchReply holds the records after FetchArgs.From, or the whole state if the
// records are no longer kept. It holds neither if there is nothing newer.
type FetchReply struct {
	Offset  platform.Offset
	Records []platform.Record
	Whole   *Snapshot
	// Coverage is the coverage that goes with Whole.
	Coverage Coverage

	from   string
	sent   time.Time
	failed bool
}

// Fetch returns everything newer than args.From.
func (s *Service) Fetch(args *FetchArgs, reply *FetchReply) error {
	have := s.Follower.published.Load()
	if have == nil {
		return nil
	}
	reply.Offset = have.state.Offset
	if args.From >= reply.Offset {
		return nil
	}
	if n := len(have.recent); n > 0 && have.recent[0].Offset <= args.From+1 {
		reply.Records = have.recent[args.From+1-have.recent[0].Offset:]
		return nil
	}
	reply.Whole, reply.Coverage = have.state.snapshot(), have.coverage
	return nil
}

// StatusArgs requests what is in force and, unless ChangeID is empty, the
// verdict on that change.
type StatusArgs struct{ ChangeID string }

// StatusReply describes what is in force at a host.
type StatusReply struct {
	Host   string
	Offset platform.Offset
	// Rule is the rule version in force; LatestRule is the newest that the host
	// knows.
	Rule       int
	LatestRule int
	Stale      bool
	Revisions  map[string]platform.Offset
	// Verdict is the verdict on the requested change, if the host has it.
	Verdict *declaration.Verdict
	// Peers are the hosts that the host believes to be alive.
	Peers []peer.Host
}

// Status reports what is in force.
func (s *Service) Status(args *StatusArgs, reply *StatusReply) error {
	f := s.Follower
	reply.Host, reply.LatestRule, reply.Stale = f.Self.Name, f.latestRule(), f.Stale(f.Clock.Now())
	if f.Members != nil {
		reply.Peers = f.Members.Members().Hosts
	}
	if st := f.State(); st != nil {
		reply.Offset, reply.Rule, reply.Revisions = st.Offset, st.Rule, st.Revisions
		reply.Verdict = st.Verdict(args.ChangeID)
	}
	return nil
}

// Bounds of the records that are kept for peers that lag slightly.
const (
	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
)

// recentRecords keeps up to limit of the newest records, without gaps.
type recentRecords struct {
	limit int
	list  []platform.Record
	bytes int
}

func (q *recentRecords) add(r *platform.Record) {
	if n := len(q.list); n > 0 && q.list[n-1].Offset+1 != r.Offset {
		q.list, q.bytes = nil, 0
	}
	q.list = append(q.list, *r)
	q.bytes += len(r.Data)
	for len(q.list) > q.limit || q.bytes > maxRecentBytes {
		q.bytes -= len(q.list[0].Data)
		q.list = q.list[1:]
	}
}

// records returns the records; the caller must not change them.
func (q *recentRecords) records() []platform.Record { return q.list[:len(q.list):len(q.list)] }

// Parameters of the probes.
const (
	probeTimeout = time.Second
	// neighbourCount is the number of peers that are probed in turn while the log
	// answers. It limits the connections of a host.
	neighbourCount = 4
	// probesPerTick is the number of peers that are probed at each tick while the
	// log does not answer.
	probesPerTick = 3
	// maxProbes bounds the concurrent probes.
	maxProbes = 8
	// logSilentAfter is the time without an answer from the log after which more
	// peers are probed.
	logSilentAfter = readWait + readMargin
)

// probePeers probes some peers: while the log answers, one of a few fixed
// neighbours in turn, otherwise several of all peers in turn.
func (c *controlLoop) probePeers(ctx context.Context, wg *sync.WaitGroup) {
	if c.f.Members == nil || c.fold.halted() {
		return
	}
	others := c.peers()
	c.sortPeers(others)
	n := probesPerTick
	if c.f.Clock.Since(c.f.currentContact().log) < logSilentAfter {
		others = others[:min(len(others), neighbourCount)]
		n = 1
	}
	for range min(n, len(others)) {
		c.startProbe(ctx, wg, others[c.probeCount%len(others)])
		c.probeCount++
	}
}

// hintGrace is the time that the log has to deliver the offset that a peer
// reported. It saves hosts from fetching each change from a peer in addition to
// reading it.
const hintGrace = 200 * time.Millisecond

// noteHint keeps the latest reported offset and starts the hintGrace timer.
func (c *controlLoop) noteHint(h offsetHint) {
	if h.offset <= max(c.fold.offset, c.latestHint.offset) {
		return
	}
	c.latestHint = h
	if c.hintDue == nil {
		c.hintDue, _ = c.f.Clock.After(hintGrace)
	}
}

// followHint probes the peer unless the log has delivered the offset meanwhile.
// If the reply is lost, the regular probes make up for it.
func (c *controlLoop) followHint(ctx context.Context, wg *sync.WaitGroup) {
	c.hintDue = nil
	if h := c.latestHint; h.offset > c.fold.offset {
		c.startProbe(ctx, wg, h.host)
	}
	c.latestHint = offsetHint{}
}

// sortPeers sorts hosts by a hash that differs on each host, so that the
// neighbours of all hosts together form one connected graph.
func (c *controlLoop) sortPeers(hosts []peer.Host) {
	weight := func(h peer.Host) uint64 { return xxhash.Sum64String(c.f.Self.Name + "\x00" + h.Name) }
	sort.Slice(hosts, func(i, j int) bool { return weight(hosts[i]) < weight(hosts[j]) })
}

// startProbe fetches what h has beyond the fold, unless a probe of h is under way
// or maxProbes is reached.
func (c *controlLoop) startProbe(ctx context.Context, wg *sync.WaitGroup, h peer.Host) {
	if c.f.Caller == nil || c.probing[h.Name] || len(c.probing) >= maxProbes {
		return
	}
	c.probing[h.Name] = true
	from := c.fold.offset
	wg.Go(func() {
		reply := c.f.fetch(ctx, h, from)
		select {
		case c.replies <- reply:
		case <-ctx.Done():
		}
	})
}

func (f *Follower) fetch(ctx context.Context, h peer.Host, from platform.Offset) *FetchReply {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := f.Clock.Now()
	reply := &FetchReply{}
	if err := f.Caller.Call(ctx, h.Addr, RPCName+".Fetch", &FetchArgs{From: from}, reply); err != nil {
		return &FetchReply{from: h.Name, failed: true}
	}
	reply.from, reply.sent = h.Name, sent
	return reply
}
