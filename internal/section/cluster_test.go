package section

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/fuzzing"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// fixedChecks is the default of -rapid.checks.
const fixedChecks = "40"

// fixedSeed makes rapid generate the same operations in each CI run.
const fixedSeed = "20260101"

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }

var (
	logAddr      = netip.MustParseAddrPort("10.0.9.1:80")
	recorderAddr = netip.MustParseAddr("10.0.9.2")
	editorsAddr  = netip.MustParseAddr("10.0.9.3")
)

// cluster is a log service and the followers of several hosts, connected by
// in-memory links. There is no membership protocol: every host lists all hosts
// as members. It runs in a synctest bubble.
type cluster struct {
	net   link.Memory
	log   standin.Log
	hosts []*testHost
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	// editing is the context of the editors' appends; endEditing cancels it.
	editing    context.Context
	endEditing context.CancelFunc

	mu       sync.Mutex
	history  []platform.Record // all records, including those past the retention
	observed []observedState
}

// observedState is a state that was in force at a host.
type observedState struct {
	at          time.Time
	host        int
	incarnation int
	state       *State
}

// testHost is a host; each start gives it a new incarnation.
type testHost struct {
	cluster     *cluster
	index       int
	incarnation int
	latestRule  int
	self        peer.Host
	clock       *clock.Service
	follower    *Follower
	stop        func()
}

// staticLister lists all hosts of a cluster.
type staticLister struct{ members *peer.Members }

func (l staticLister) Members() *peer.Members { return l.members }

func hostAt(i int) peer.Host {
	ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	return peer.Host{Name: fmt.Sprintf("h%d", i), Addr: netip.AddrPortFrom(ip, 81)}
}

// Times of the clusters. The retention is well above the snapshot age.
const (
	testRetention   = 40 * time.Second
	testSnapshotAge = 8 * time.Second
)

// newCluster starts n hosts. Host i knows rule versions up to latest[i], if
// given.
func newCluster(n int, latest ...int) *cluster {
	cl := &cluster{net: link.Memory{Delay: time.Millisecond}}
	cl.log.Retention = testRetention
	cl.log.SetFaultsFor(recorderAddr, standin.LogFaults{}) // exempt from faults
	cl.ctx, cl.stop = context.WithCancel(context.Background())
	cl.editing, cl.endEditing = context.WithCancel(cl.ctx)
	l, err := cl.net.Process(logAddr.Addr()).Listen(logAddr)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: &cl.log}
	cl.wg.Go(func() { server.Serve(l) })
	context.AfterFunc(cl.ctx, func() { server.Close() })
	cl.wg.Go(cl.recordHistory)
	for i := range n {
		h := &testHost{cluster: cl, index: i, self: hostAt(i)}
		if i < len(latest) {
			h.latestRule = latest[i]
		}
		cl.hosts = append(cl.hosts, h)
	}
	for _, h := range cl.hosts {
		h.start()
	}
	return cl
}

// recordHistory keeps every record of the stream for the oracle.
func (cl *cluster) recordHistory() {
	c := cl.client(recorderAddr)
	defer c.HTTP.CloseIdleConnections()
	next := platform.Offset(1)
	for cl.ctx.Err() == nil {
		b, err := c.Read(cl.ctx, platform.ConfigStream, next, time.Second)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		cl.mu.Lock()
		cl.history = append(cl.history, b.Records...)
		cl.mu.Unlock()
		next += platform.Offset(len(b.Records))
	}
}

func (cl *cluster) client(from netip.Addr) *platform.Client {
	return platform.NewClient(cl.net.Process(from), logAddr, logAddr)
}

// members returns all hosts as members.
func (cl *cluster) members() *peer.Members {
	var all []peer.Host
	for _, h := range cl.hosts {
		all = append(all, h.self)
	}
	return peer.NewMembers(all)
}

// start begins a new incarnation of h.
func (h *testHost) start() {
	h.incarnation++
	cl := h.cluster
	network := cl.net.Process(h.self.Addr.Addr())
	client := cl.client(h.self.Addr.Addr())
	incarnation, index := h.incarnation, h.index
	h.clock = &clock.Service{}
	h.follower = &Follower{
		Log:         client,
		Clock:       h.clock,
		Self:        h.self,
		Members:     staticLister{cl.members()},
		Caller:      &peer.Caller{Net: network},
		SnapshotAge: testSnapshotAge,
		LatestRule:  h.latestRule,
		maxRecent:   3, // low, so that whole states are fetched often
		Observe: func(s *State) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.observed = append(cl.observed, observedState{time.Now(), index, incarnation, s})
		},
	}
	server := &peer.Server{RPC: rpc.NewServer()}
	if err := server.RPC.RegisterName(RPCName, &Service{Follower: h.follower}); err != nil {
		panic(err)
	}
	l, err := network.Listen(h.self.Addr)
	if err != nil {
		panic(err)
	}
	h.run(l, server, client)
}

func (h *testHost) run(l net.Listener, server *peer.Server, client *platform.Client) {
	ctx, cancel := context.WithCancel(h.cluster.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(l) })
	follower, c := h.follower, h.clock
	wg.Go(func() { follower.Run(ctx) })
	h.stop = func() {
		c.Resume()
		cancel()
		h.cluster.net.Kill(h.self.Addr.Addr())
		l.Close()
		server.Close()
		follower.Caller.Close()
		wg.Wait()
		client.HTTP.CloseIdleConnections()
	}
}

// close stops every process of the cluster.
func (cl *cluster) close() {
	for _, h := range cl.hosts {
		h.stop()
	}
	cl.stop()
	cl.wg.Wait()
	time.Sleep(idleTime)
}

// idleTime is the time after which HTTP clients have closed all connections.
const idleTime = time.Minute

// heal ends all faults and the appends of the editors.
func (cl *cluster) heal() {
	cl.endEditing()
	cl.log.SetFaults(standin.LogFaults{})
	for _, h := range cl.hosts {
		cl.cutLog(h.index, false)
		cl.cutPeers(h.index, false)
		cl.log.SetFaultsFor(h.self.Addr.Addr(), standin.LogFaults{})
		h.clock.Resume()
	}
}

func (cl *cluster) cut(a, b netip.Addr, cut bool) {
	if cut {
		cl.net.Cut(a, b)
		cl.net.Cut(b, a)
		return
	}
	cl.net.Heal(a, b)
	cl.net.Heal(b, a)
}

// cutLog cuts or heals the links between a host and the log.
func (cl *cluster) cutLog(host int, cut bool) {
	cl.cut(cl.hosts[host].self.Addr.Addr(), logAddr.Addr(), cut)
}

// cutPeers cuts or heals the links between a host and all other hosts.
func (cl *cluster) cutPeers(host int, cut bool) {
	for _, h := range cl.hosts {
		if h.index != host {
			cl.cut(cl.hosts[host].self.Addr.Addr(), h.self.Addr.Addr(), cut)
		}
	}
}

// publish appends a change until the given number of appends have been answered
// or publishTries are used up. A retry after a lost answer adds a duplicate.
func (cl *cluster) publish(c *platform.Client, id string, change declaration.Change, copies int) {
	data, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	cl.append(c, platform.Entry{ID: id, Kind: ChangeKind, Data: data}, copies)
}

// publishTries bounds an editor's appends of one change.
const publishTries = 5

func (cl *cluster) append(c *platform.Client, e platform.Entry, copies int) {
	for range publishTries {
		ctx, cancel := context.WithTimeout(cl.editing, time.Second)
		_, err := c.Append(ctx, platform.ConfigStream, []platform.Entry{e})
		cancel()
		if err == nil {
			copies--
		}
		if copies == 0 || cl.editing.Err() != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
