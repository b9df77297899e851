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

// fixedChecks is the number of drawn runs unless -rapid.checks says another.
const fixedChecks = "40"

// fixedSeed makes the drawn runs the same in each CI run.
const fixedSeed = "20260101"

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }

var (
	logAddr      = netip.MustParseAddrPort("10.0.9.1:80")
	recorderAddr = netip.MustParseAddr("10.0.9.2")
	editorsAddr  = netip.MustParseAddr("10.0.9.3")
)

// world is a log service and the followers of some hosts over in-memory links,
// without membership: every host counts all as members. It runs in a bubble.
type cluster struct {
	net   link.Memory
	log   standin.Log
	hosts []*testHost
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	// editing ends the editors' tries.
	editing    context.Context
	endEditing context.CancelFunc

	mu       sync.Mutex
	history  []platform.Record // all records, also those past retention
	observed []observedState
}

// seen is a state that was in force at a host.
type observedState struct {
	at          time.Time
	host        int
	incarnation int
	state       *State
}

// node is a host; a restart gives it another life.
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

// everyone lists all hosts of a world.
type staticLister struct{ members *peer.Members }

func (e staticLister) Members() *peer.Members { return e.members }

func hostAt(i int) peer.Host {
	ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	return peer.Host{Name: fmt.Sprintf("h%d", i), Addr: netip.AddrPortFrom(ip, 81)}
}

// times of the worlds: retention is far above the snapshot age.
const (
	testRetention   = 40 * time.Second
	testSnapshotAge = 8 * time.Second
)

// newWorld starts n hosts; host i knows rules up to latest[i], if given.
func newCluster(n int, latest ...int) *cluster {
	w := &cluster{net: link.Memory{Delay: time.Millisecond}}
	w.log.Retention = testRetention
	w.log.SetFaultsFor(recorderAddr, standin.LogFaults{}) // meets no faults
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.editing, w.endEditing = context.WithCancel(w.ctx)
	l, err := w.net.Process(logAddr.Addr()).Listen(logAddr)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: &w.log}
	w.wg.Go(func() { server.Serve(l) })
	context.AfterFunc(w.ctx, func() { server.Close() })
	w.wg.Go(w.recordHistory)
	for i := range n {
		h := &testHost{cluster: w, index: i, self: hostAt(i)}
		if i < len(latest) {
			h.latestRule = latest[i]
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

// record keeps the whole history for the oracle.
func (w *cluster) recordHistory() {
	c := w.client(recorderAddr)
	defer c.HTTP.CloseIdleConnections()
	next := platform.Offset(1)
	for w.ctx.Err() == nil {
		b, err := c.Read(w.ctx, platform.ConfigStream, next, time.Second)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		w.mu.Lock()
		w.history = append(w.history, b.Records...)
		w.mu.Unlock()
		next += platform.Offset(len(b.Records))
	}
}

func (w *cluster) client(from netip.Addr) *platform.Client {
	return platform.NewClient(w.net.Process(from), logAddr, logAddr)
}

// members returns all hosts as members.
func (w *cluster) members() *peer.Members {
	var all []peer.Host
	for _, h := range w.hosts {
		all = append(all, h.self)
	}
	return peer.NewMembers(all)
}

// start begins a life of h.
func (h *testHost) start() {
	h.incarnation++
	w := h.cluster
	network := w.net.Process(h.self.Addr.Addr())
	client := w.client(h.self.Addr.Addr())
	life, index := h.incarnation, h.index
	h.clock = &clock.Service{}
	h.follower = &Follower{
		Log:         client,
		Clock:       h.clock,
		Self:        h.self,
		Members:     staticLister{w.members()},
		Caller:      &peer.Caller{Net: network},
		SnapshotAge: testSnapshotAge,
		LatestRule:  h.latestRule,
		maxRecent:   3, // so that whole states are fetched often
		Observe: func(s *State) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.observed = append(w.observed, observedState{time.Now(), index, life, s})
		},
	}
	server := &peer.Server{RPC: rpc.NewServer()}
	if err := server.RPC.RegisterName(ServiceName, &Service{Follower: h.follower}); err != nil {
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

// close ends every process of the world.
func (w *cluster) close() {
	for _, h := range w.hosts {
		h.stop()
	}
	w.stop()
	w.wg.Wait()
	time.Sleep(idleTime)
}

// idleTime is the time after which HTTP clients have closed every connection.
const idleTime = time.Minute

// heal ends every fault and the tries of the editors.
func (w *cluster) heal() {
	w.endEditing()
	w.log.SetFaults(standin.LogFaults{})
	for _, h := range w.hosts {
		w.cutLog(h.index, false)
		w.cutPeers(h.index, false)
		w.log.SetFaultsFor(h.self.Addr.Addr(), standin.LogFaults{})
		h.clock.Resume()
	}
}

func (w *cluster) cut(a, b netip.Addr, cut bool) {
	if cut {
		w.net.Cut(a, b)
		w.net.Cut(b, a)
		return
	}
	w.net.Heal(a, b)
	w.net.Heal(b, a)
}

// cutLog cuts or heals the links between a host and the log.
func (w *cluster) cutLog(host int, cut bool) {
	w.cut(w.hosts[host].self.Addr.Addr(), logAddr.Addr(), cut)
}

// cutPeers cuts or heals the links between a host and the others.
func (w *cluster) cutPeers(host int, cut bool) {
	for _, h := range w.hosts {
		if h.index != host {
			w.cut(w.hosts[host].self.Addr.Addr(), h.self.Addr.Addr(), cut)
		}
	}
}

// publish appends a change, again and again until an append is answered or
// tries are used up; a repeat of one whose answer was lost is a second copy.
func (w *cluster) publish(c *platform.Client, id string, change declaration.Change, copies int) {
	data, err := json.Marshal(change)
	if err != nil {
		panic(err)
	}
	w.append(c, platform.Entry{ID: id, Kind: ChangeKind, Data: data}, copies)
}

// publishTries bounds the appends of one change by an editor.
const publishTries = 5

func (w *cluster) append(c *platform.Client, e platform.Entry, copies int) {
	for range publishTries {
		ctx, cancel := context.WithTimeout(w.editing, time.Second)
		_, err := c.Append(ctx, platform.ConfigStream, []platform.Entry{e})
		cancel()
		if err == nil {
			copies--
		}
		if copies == 0 || w.editing.Err() != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
