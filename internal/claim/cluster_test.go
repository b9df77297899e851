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

// testPartitions is small, so that keys share streams.
const testPartitions = 3

var logAddr = netip.MustParseAddrPort("10.0.1.1:80")

// cluster is a log service and the claimers of some hosts in one bubble of
// testing/synctest.
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

// testHost is one host. It can be started again after a kill.
type testHost struct {
	cluster *cluster
	name    string
	addr    netip.AddrPort
	clock   *clock.Service
	members *testMembers
	holder  *Holder
	client  *Client
	ctx     context.Context // of the current incarnation; nil while the host is dead
	cancel  context.CancelFunc
	done    sync.WaitGroup
	frozen  bool
	freezes int
}

// testMembers is a host's view of which hosts are alive.
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

// callerRequest is a request of a caller and its result.
type callerRequest struct {
	host     *testHost
	hostCtx  context.Context
	request  Request
	start    time.Time
	took     time.Duration
	freezes  int
	verdict  Verdict
	err      error
	returned bool // Claim returned while the host was alive
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

// membersWithout returns the hosts except those in without.
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
	server.RegisterName(RPCName, &Service{h.holder})
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

// kill stops the host without a drain.
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

// close stops the cluster so that the bubble can end.
func (c *cluster) close() {
	c.heal()
	for _, h := range c.hosts {
		h.kill()
	}
	c.wg.Wait()
	time.Sleep(time.Second) // pending dials over cut links end meanwhile
	c.http.Close()
}

// heal ends all faults, but doesn't start dead hosts.
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

// key returns a UUIDv7 with the current time and with other bits derived from
// name.
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

// requestPlan says how a caller's request behaves.
type requestPlan struct {
	host      int
	key       string
	body      string
	timeout   time.Duration // until the claimer's deadline
	runTime   time.Duration // for which the target runs it
	sendDelay time.Duration // between the verdict and the send to the target
	release   bool          // release instead of running
}

// send starts a request in the background.
func (c *cluster) send(p requestPlan) *callerRequest {
	h := c.hosts[p.host]
	r := &callerRequest{host: h, hostCtx: h.ctx, freezes: h.freezes}
	c.mu.Lock()
	attempt := fmt.Sprintf("a%d", len(c.requests))
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	r.request = Request{Workspace: "W", Key: p.key, Digest: p.body, AttemptID: attempt}
	if h.ctx == nil {
		return r
	}
	c.wg.Go(func() { c.runRequest(r, p, h.client) })
	return r
}

// runRequest handles a non-idempotent request as a host does.
func (c *cluster) runRequest(r *callerRequest, p requestPlan, claimer Claimer) {
	h := r.host
	r.start = h.clock.Now()
	r.request.Until = r.start.Add(p.timeout)
	verdict, err := claimer.Claim(r.hostCtx, r.request)
	c.mu.Lock()
	r.verdict, r.err = verdict, err
	r.took = time.Since(r.start.Add(-h.clock.Skew))
	r.returned = r.hostCtx.Err() == nil
	c.mu.Unlock()
	if !r.returned {
		return
	}
	if _, ok := r.verdict.(First); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.hostCtx, p.timeout+5*time.Second)
	defer cancel()
	if h.clock.Sleep(r.hostCtx, p.sendDelay) != nil {
		return
	}
	if p.release || !r.request.Valid(h.clock.Now()) {
		c.mu.Lock()
		r.released = true
		c.mu.Unlock()
		claimer.Release(ctx, r.request)
		return
	}
	c.mu.Lock()
	r.ran, r.ranLate = true, h.clock.Now().After(r.request.Until)
	c.runs[p.key] = append(c.runs[p.key], r)
	c.mu.Unlock()
	if h.clock.Sleep(ctx, p.runTime) != nil {
		return
	}
	answer, _ := json.Marshal(r.request.AttemptID)
	err = claimer.Finish(ctx, r.request, Outcome{Code: result.OK, Ran: result.RanYes, Answer: answer})
	c.mu.Lock()
	defer c.mu.Unlock()
	r.finished = err == nil && r.hostCtx.Err() == nil
}

// describe returns the result of the request, for scripts.
func (r *callerRequest) describe() string {
	switch {
	case !r.returned && r.hostCtx == nil:
		return "host was dead"
	case !r.returned && r.hostCtx.Err() != nil:
		return "host died"
	case !r.returned:
		return "waiting"
	case r.err != nil:
		return fmt.Sprintf("error %s, Ran %s", result.From(r.err).Code, result.From(r.err).Ran)
	}
	switch v := r.verdict.(type) {
	case First:
		switch {
		case r.released:
			return "first, released"
		case r.finished:
			return "first, ran, finished"
		}
		return "first, ran"
	case Repeat:
		return fmt.Sprintf("repeat of %s, Ran %s, answer %s", v.Outcome.Code, v.Outcome.Ran, v.Outcome.Answer)
	case Refused:
		return fmt.Sprintf("refused %s, Ran %s", v.Result.Code, v.Result.Ran)
	}
	panic(fmt.Sprintf("unexpected verdict %T", r.verdict))
}
