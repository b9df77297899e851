package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// testPartitions makes few streams, so that keys share them.
const testPartitions = 3

var logAddr = netip.MustParseAddrPort("10.0.1.1:80")

// world is a log service and some hosts' claimers in one bubble.
type cluster struct {
	t     *testing.T
	net   *link.Memory
	log   *standin.Log
	http  *http.Server
	hosts []*testHost

	mu       sync.Mutex
	requests []*callerRequest
	runs     map[string][]*callerRequest // by key
	wg       sync.WaitGroup
}

// testHost is one host; a killed one can be started again.
type testHost struct {
	cluster *cluster
	name    string
	addr    netip.AddrPort
	clock   *clock.Service
	members *testMembers
	holder  *Holder
	client  *Client
	ctx     context.Context // of this life; nil while dead
	cancel  context.CancelFunc
	done    sync.WaitGroup
	frozen  bool
	freezes int
}

// testMembers is a host's own view of who is alive.
type testMembers struct {
	mu sync.Mutex
	m  *peer.Members
}

func (m *testMembers) Members() *peer.Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.m
}

func (m *testMembers) set(hosts []peer.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.m = peer.NewMembers(hosts)
}

// send is one request of a caller and what became of it.
type callerRequest struct {
	host     *testHost
	hostCtx  context.Context
	request  Request
	start    time.Time
	took     time.Duration
	freezes  int
	verdict  Verdict
	err      error
	returned bool // Claim returned to a living host
	ran      bool
	ranLate  bool // ran after its deadline by its host's clock
	finished bool // Finish returned nil
	released bool
}

func newCluster(t *testing.T, skews []time.Duration) *cluster {
	c := &cluster{t: t, net: &link.Memory{Delay: time.Millisecond}, log: &standin.Log{}, runs: map[string][]*callerRequest{}}
	l, err := c.net.Process(logAddr.Addr()).Listen(logAddr)
	if err != nil {
		t.Fatal(err)
	}
	c.http = &http.Server{Handler: c.log}
	go c.http.Serve(l)
	for i, skew := range skews {
		c.hosts = append(c.hosts, &testHost{
			cluster: c,
			name:    fmt.Sprintf("h%d", i),
			addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81),
			clock:   &clock.Service{Skew: skew},
			members: &testMembers{},
		})
	}
	for _, h := range c.hosts {
		h.members.set(c.membersWithout(nil))
		h.start()
	}
	return c
}

// view returns the hosts but those left out.
func (c *cluster) membersWithout(without map[int]bool) []peer.Host {
	var out []peer.Host
	for i, h := range c.hosts {
		if !without[i] {
			out = append(out, peer.Host{Name: h.name, Addr: h.addr})
		}
	}
	return out
}

func (h *testHost) start() {
	if h.ctx != nil {
		return
	}
	network := h.cluster.net.Process(h.addr.Addr())
	client := platform.NewClient(network, logAddr, logAddr)
	peers := &peer.Caller{Net: network}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.holder = &Holder{Clock: h.clock, Log: client, Members: h.members, Self: h.name, Partitions: testPartitions, Stats: NewStats()}
	h.client = NewClient(h.clock, h.members, peers, h.holder)
	server := rpc.NewServer()
	server.RegisterName(ServiceName, &Service{h.holder})
	l, err := network.Listen(h.addr)
	if err != nil {
		h.cluster.t.Fatal(err)
	}
	ctx, holder, claimer := h.ctx, h.holder, h.client
	h.done.Go(func() { holder.Run(ctx) })
	h.done.Go(func() { claimer.Run(ctx) })
	h.done.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	})
	context.AfterFunc(ctx, func() {
		l.Close()
		peers.Close()
		client.HTTP.CloseIdleConnections()
	})
}

// kill ends the host at once.
func (h *testHost) kill() {
	if h.ctx == nil {
		return
	}
	h.cluster.net.Kill(h.addr.Addr())
	h.cancel()
	h.thaw()
	h.done.Wait()
	h.ctx = nil
}

func (h *testHost) freeze() {
	h.clock.Suspend()
	h.frozen = true
	h.freezes++
}

func (h *testHost) thaw() {
	h.clock.Resume()
	h.frozen = false
}

// close ends the world so that the bubble can end.
func (c *cluster) close() {
	c.heal()
	for _, h := range c.hosts {
		h.kill()
	}
	c.wg.Wait()
	time.Sleep(time.Second) // dials that a cut held up end now
	c.http.Close()
}

// heal ends every fault but dead hosts.
func (c *cluster) heal() {
	c.log.SetFaults(standin.LogFaults{})
	for _, h := range c.hosts {
		h.thaw()
		c.net.Heal(h.addr.Addr(), logAddr.Addr())
		c.net.Heal(logAddr.Addr(), h.addr.Addr())
		for _, other := range c.hosts {
			c.net.Heal(h.addr.Addr(), other.addr.Addr())
		}
		h.members.set(c.membersWithout(nil))
	}
}

// key returns the same UUIDv7 for the same name, made now.
func (c *cluster) key(name string) string {
	u := uuid.UUID{}
	ms := time.Now().UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	sum := xxhash.Sum64String(name)
	for i := range 8 {
		u[8+i] = byte(sum >> (8 * i))
	}
	u[6], u[8] = 0x70, u[8]&0x3f|0x80
	return u.String()
}

// plan is how a caller's request behaves.
type requestPlan struct {
	host      int
	key       string
	body      string
	timeout   time.Duration // until the claimer's deadline
	runTime   time.Duration // that the target takes
	sendDelay time.Duration // between the verdict and the send
	release   bool          // release instead of running
}

// send starts a request in the background.
func (c *cluster) send(p requestPlan) *callerRequest {
	h := c.hosts[p.host]
	s := &callerRequest{host: h, hostCtx: h.ctx, freezes: h.freezes}
	c.mu.Lock()
	attempt := fmt.Sprintf("a%d", len(c.requests))
	c.requests = append(c.requests, s)
	c.mu.Unlock()
	s.request = Request{Workspace: "W", Key: p.key, Digest: p.body, AttemptID: attempt}
	if h.ctx == nil {
		return s
	}
	c.wg.Go(func() { c.runRequest(s, p, h.client) })
	return s
}

// serve does what a host does with a non-idempotent request.
func (c *cluster) runRequest(s *callerRequest, p requestPlan, claimer Claimer) {
	h := s.host
	s.start = h.clock.Now()
	s.request.Until = s.start.Add(p.timeout)
	verdict, err := claimer.Claim(s.hostCtx, s.request)
	c.mu.Lock()
	s.verdict, s.err = verdict, err
	s.took = time.Since(s.start.Add(-h.clock.Skew))
	s.returned = s.hostCtx.Err() == nil
	c.mu.Unlock()
	if !s.returned {
		return
	}
	if _, ok := s.verdict.(First); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.hostCtx, p.timeout+5*time.Second)
	defer cancel()
	if h.clock.Sleep(s.hostCtx, p.sendDelay) != nil {
		return
	}
	if p.release || !s.request.Valid(h.clock.Now()) {
		c.mu.Lock()
		s.released = true
		c.mu.Unlock()
		claimer.Release(ctx, s.request)
		return
	}
	c.mu.Lock()
	s.ran, s.ranLate = true, h.clock.Now().After(s.request.Until)
	c.runs[p.key] = append(c.runs[p.key], s)
	c.mu.Unlock()
	if h.clock.Sleep(ctx, p.runTime) != nil {
		return
	}
	answer, _ := json.Marshal(s.request.AttemptID)
	err = claimer.Finish(ctx, s.request, Outcome{Code: result.OK, Ran: result.RanYes, Answer: answer})
	c.mu.Lock()
	defer c.mu.Unlock()
	s.finished = err == nil && s.hostCtx.Err() == nil
}

// describe gives what a caller was told, for scripts.
func (s *callerRequest) describe() string {
	switch {
	case !s.returned && s.hostCtx == nil:
		return "host was dead"
	case !s.returned && s.hostCtx.Err() != nil:
		return "host died"
	case !s.returned:
		return "waiting"
	case s.err != nil:
		return fmt.Sprintf("error %s, Ran %s", result.From(s.err).Code, result.From(s.err).Ran)
	}
	switch v := s.verdict.(type) {
	case First:
		switch {
		case s.released:
			return "first, released"
		case s.finished:
			return "first, ran, finished"
		}
		return "first, ran"
	case Repeat:
		return fmt.Sprintf("repeat of %s, Ran %s, answer %s", v.Outcome.Code, v.Outcome.Ran, v.Outcome.Answer)
	case Refused:
		return fmt.Sprintf("refused %s, Ran %s", v.Result.Code, v.Result.Ran)
	}
	panic(fmt.Sprintf("unexpected verdict %T", s.verdict))
}
