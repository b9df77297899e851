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

// ServiceName is the name under which a host serves a Service by net/rpc.
const ServiceName = "Section"

// Service is the RPC service by which hosts catch up from each other and
// operators ask what is in force.
type Service struct{ Follower *Follower }

// FetchArgs asks for what is newer than From.
type FetchArgs struct{ From platform.Offset }

// FetchReply holds the records after FetchArgs.From, or the whole state when
// the records are no longer kept. It holds neither when there is nothing newer.
type FetchReply struct {
	Offset  platform.Offset
	Records []platform.Record
	Whole   *Snapshot
	// Coverage belongs to Whole.
	Coverage Coverage

	from   string
	sent   time.Time
	failed bool
}

// Fetch answers with what is newer than args.From.
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

// StatusArgs asks what is in force and, unless ChangeID is empty, for the
// verdict on a change.
type StatusArgs struct{ ChangeID string }

// StatusReply says what is in force at a host.
type StatusReply struct {
	Host   string
	Offset platform.Offset
	// Rule is in force; LatestRule is the newest that the host knows.
	Rule       int
	LatestRule int
	Stale      bool
	Revisions  map[string]platform.Offset
	// Verdict is that on the change that was asked for, if the host has it.
	Verdict *declaration.Verdict
	// Peers are the hosts that the host believes alive.
	Peers []peer.Host
}

// Status answers what is in force.
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

// Bounds of the records that are kept for peers that lag a little.
const (
	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
)

// recent keeps the newest records without gaps, up to limit of them.
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

// How peers are asked.
const (
	probeTimeout = time.Second
	// neighbours is the number of peers that are asked in turn while the log
	// answers; the connections of a host stay that few.
	neighbourCount = 4
	// probesPerTick is the number of peers that are asked at each tick while the
	// log does not answer.
	probesPerTick = 3
	// maxProbes bounds the probes under way.
	maxProbes = 8
	// logQuiet is the time without an answer of the log after which more peers
	// are asked.
	logSilentAfter = readWait + readMargin
)

// probe asks some peers for what is newer. While the log answers these are a
// few fixed neighbours, else all peers in turn.
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

// hintGrace is the time that the log has to bring what a peer told of. It spares
// the hosts from fetching each change from peers besides reading it.
const hintGrace = 200 * time.Millisecond

// hint keeps the latest offset that was told and begins the grace.
func (c *controlLoop) noteHint(h offsetHint) {
	if h.offset <= max(c.fold.offset, c.latestHint.offset) {
		return
	}
	c.latestHint = h
	if c.hintDue == nil {
		c.hintDue, _ = c.f.Clock.After(hintGrace)
	}
}

// followHint asks the peer unless the log has brought the offset meanwhile. The
// probes see to it that an answer which is lost is made up for.
func (c *controlLoop) followHint(ctx context.Context, wg *sync.WaitGroup) {
	c.hintDue = nil
	if h := c.latestHint; h.offset > c.fold.offset {
		c.startProbe(ctx, wg, h.host)
	}
	c.latestHint = offsetHint{}
}

// order sorts hosts in an order of this host's own, so that the neighbours of
// all hosts together tie the hosts into one net.
func (c *controlLoop) sortPeers(hosts []peer.Host) {
	weight := func(h peer.Host) uint64 { return xxhash.Sum64String(c.f.Self.Name + "\x00" + h.Name) }
	sort.Slice(hosts, func(i, j int) bool { return weight(hosts[i]) < weight(hosts[j]) })
}

// ask fetches what h has beyond the fold, unless that is under way already.
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
	if err := f.Caller.Call(ctx, h.Addr, ServiceName+".Fetch", &FetchArgs{From: from}, reply); err != nil {
		return &FetchReply{from: h.Name, failed: true}
	}
	reply.from, reply.sent = h.Name, sent
	return reply
}
