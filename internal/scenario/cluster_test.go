package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"go.uber.org/zap"
)

// Addresses of the processes that every cluster has.
var (
	logAddr    = netip.MustParseAddrPort("10.0.1.1:80")
	listAddr   = netip.MustParseAddrPort("10.0.1.2:80")
	operatorIP = netip.MustParseAddr("10.0.1.3")
	callerIP   = netip.MustParseAddr("10.0.3.1")
)

const linkDelay = 500 * time.Microsecond

// cluster is the fixture of one scenario: the platform, hosts, targets and calls.
type cluster struct {
	t              testing.TB
	network        *link.Memory
	log            *standin.Log
	list           *standin.HostList
	section        declaration.Section
	base           platform.Offset // offset of the section's last change
	hosts          map[string]*testHost
	targets        map[string]*testTarget
	calls          map[string]*call
	trace          runTrace
	running        sync.WaitGroup
	standinServers []*standin.Server
	client         *http.Client
	keyCount       int // keys made so far
}

// testHost is one host of the system across all its incarnations.
type testHost struct {
	name     string
	addr     netip.Addr
	settings settings.Settings
	clock    *clock.Service
	network  *incarnationNetwork
	stop     context.CancelFunc
	done     chan struct{}
	host     *host.Host
}

// incarnationNetwork is the network of one incarnation of a host. Once closed is
// set, Dial fails.
type incarnationNetwork struct {
	link.Network
	closed atomic.Bool
}

func (n *incarnationNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if n.closed.Load() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.Dial(ctx, addr)
}

// newCluster returns a cluster in which only the platform is running.
func newCluster(t testing.TB) *cluster {
	cl := &cluster{
		t:       t,
		network: &link.Memory{Delay: linkDelay},
		log:     &standin.Log{},
		list:    &standin.HostList{},
		hosts:   map[string]*testHost{},
		targets: map[string]*testTarget{},
		calls:   map[string]*call{},
	}
	cl.section.Workspaces = []declaration.Workspace{{Name: "W"}}
	cl.client = &http.Client{Transport: link.Transport(cl.network.Process(callerIP))}
	cl.serve(logAddr, cl.log)
	cl.serve(listAddr, cl.list)
	return cl
}

func (cl *cluster) serve(addr netip.AddrPort, h http.Handler) {
	s := &standin.Server{Net: cl.network.Process(addr.Addr()), Addr: addr, Handler: h}
	if err := s.Start(); err != nil {
		cl.t.Fatal(err)
	}
	cl.standinServers = append(cl.standinServers, s)
}

// close stops every process.
func (cl *cluster) close() {
	for _, c := range cl.calls {
		c.cancel()
	}
	for _, h := range cl.hosts {
		cl.thaw(h)
		cl.kill(h)
	}
	cl.client.CloseIdleConnections()
	cl.running.Wait()
	for _, s := range cl.standinServers {
		s.Stop()
	}
	time.Sleep(endTime)
}

// endTime exceeds the time for which goroutines of ended processes remain. A claimed
// request of a killed host lasts longest: 5 s to its deadline, 10 s for a late answer and
// 30 s to record the outcome, of which the drain of its host, 32 s, has passed.
const endTime = 15 * time.Second

// publish appends the declared section to the log as a change.
func (cl *cluster) publish() {
	text, err := json.Marshal(&cl.section)
	if err != nil {
		cl.t.Fatal(err)
	}
	data, err := json.Marshal(&declaration.Change{RuleVersion: 1, Section: "S", Base: int64(cl.base), Author: "scenario", Text: text})
	if err != nil {
		cl.t.Fatal(err)
	}
	operator := platform.NewClient(cl.network.Process(operatorIP), logAddr, listAddr)
	defer operator.HTTP.CloseIdleConnections()
	id := fmt.Sprintf("change-%d", cl.base)
	at, err := operator.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: id, Kind: section.ChangeKind, Data: data}})
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.base = at
}

// addHost adds a host without starting it.
func (cl *cluster) addHost(name string) *testHost {
	addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(len(cl.hosts) + 1)})
	h := &testHost{name: name, addr: addr, clock: &clock.Service{}}
	h.settings = settings.Settings{
		Name: name, LogAddr: logAddr, HostListAddr: listAddr,
		CallerAddr: netip.AddrPortFrom(addr, 80), PeerAddr: netip.AddrPortFrom(addr, 81),
	}
	h.settings.SetDefaults()
	for _, other := range cl.hosts {
		h.settings.Peers = append(h.settings.Peers, settings.Peer{Name: other.name, Addr: other.settings.PeerAddr})
	}
	cl.hosts[name] = h
	return h
}

// start starts a new incarnation of h.
func (cl *cluster) start(h *testHost) {
	ctx, stop := context.WithCancel(context.Background())
	h.clock = &clock.Service{}
	h.network = &incarnationNetwork{Network: cl.network.Process(h.addr)}
	h.stop, h.done = stop, make(chan struct{})
	s := h.settings
	instance, err := host.New(&s, h.network, h.clock, zap.NewNop())
	if err != nil {
		cl.t.Fatal(err)
	}
	instance.Dispatcher.Rand = rand.New(rand.NewPCG(uint64(len(cl.hosts)), 7))
	h.host = instance
	cl.running.Add(1)
	go func(done chan struct{}) {
		defer cl.running.Done()
		defer close(done)
		if err := instance.Run(ctx); err != nil {
			cl.t.Errorf("host %s: %v", h.name, err)
		}
	}(h.done)
}

// ended reports whether the current incarnation has ended.
func (h *testHost) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// kill ends the current incarnation abruptly, as SIGKILL does.
func (cl *cluster) kill(h *testHost) {
	if h.network == nil {
		return
	}
	h.network.closed.Store(true)
	cl.network.Kill(h.addr)
	h.stop()
}

// freeze suspends a host as SIGSTOP does: its clock stops and it neither sends nor
// receives anything.
func (cl *cluster) freeze(h *testHost) {
	h.clock.Suspend()
	cl.cutAll(h, cl.network.Cut)
}

func (cl *cluster) thaw(h *testHost) {
	cl.cutAll(h, cl.network.Heal)
	h.clock.Resume()
}

func (cl *cluster) cutAll(h *testHost, change func(from, to netip.Addr)) {
	for _, name := range cl.processes() {
		if a := cl.addr(name); a != h.addr {
			change(h.addr, a)
			change(a, h.addr)
		}
	}
}

// processes returns the sorted names that addr accepts.
func (cl *cluster) processes() []string {
	names := []string{"callers", "list", "log"}
	for name := range cl.hosts {
		names = append(names, name)
	}
	for name := range cl.targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// addr returns the IP address of a process by its name in scripts.
func (cl *cluster) addr(name string) netip.Addr {
	switch name {
	case "log":
		return logAddr.Addr()
	case "list":
		return listAddr.Addr()
	case "callers":
		return callerIP
	}
	if h := cl.hosts[name]; h != nil {
		return h.addr
	}
	if s := cl.targets[name]; s != nil {
		return s.addr.Addr()
	}
	cl.t.Fatalf("no process %q", name)
	return netip.Addr{}
}
