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

// Addresses of the processes.
var (
	logAddr    = netip.MustParseAddrPort("10.0.1.1:80")
	listAddr   = netip.MustParseAddrPort("10.0.1.2:80")
	operatorIP = netip.MustParseAddr("10.0.1.3")
	callerIP   = netip.MustParseAddr("10.0.3.1")
)

const linkDelay = 500 * time.Microsecond

// world is everything that one scenario runs.
type cluster struct {
	t              testing.TB
	network        *link.Memory
	log            *standin.Log
	list           *standin.HostList
	section        declaration.Section
	base           platform.Offset // of the section's last change
	hosts          map[string]*testHost
	targets        map[string]*testTarget
	calls          map[string]*call
	trace          runTrace
	running        sync.WaitGroup
	standinServers []*standin.Server
	client         *http.Client
	keyCount       int // keys made so far
}

// hostSite is one host of the system, through all its lives.
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

// lifeNetwork is the network of one life of a host: after its end nothing can
// be dialled.
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

// newWorld starts the platform.
func newCluster(t testing.TB) *cluster {
	w := &cluster{
		t:       t,
		network: &link.Memory{Delay: linkDelay},
		log:     &standin.Log{},
		list:    &standin.HostList{},
		hosts:   map[string]*testHost{},
		targets: map[string]*testTarget{},
		calls:   map[string]*call{},
	}
	w.section.Workspaces = []declaration.Workspace{{Name: "W"}}
	w.client = &http.Client{Transport: link.Transport(w.network.Process(callerIP))}
	w.serve(logAddr, w.log)
	w.serve(listAddr, w.list)
	return w
}

func (w *cluster) serve(addr netip.AddrPort, h http.Handler) {
	s := &standin.Server{Net: w.network.Process(addr.Addr()), Addr: addr, Handler: h}
	if err := s.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.standinServers = append(w.standinServers, s)
}

// close ends every process.
func (w *cluster) close() {
	for _, c := range w.calls {
		c.cancel()
	}
	for _, h := range w.hosts {
		w.thaw(h)
		w.kill(h)
	}
	w.client.CloseIdleConnections()
	w.running.Wait()
	for _, s := range w.standinServers {
		s.Stop()
	}
	time.Sleep(time.Second) // servers linger on connections that they close
}

// publish appends the declared section as a change.
func (w *cluster) publish() {
	text, err := json.Marshal(&w.section)
	if err != nil {
		w.t.Fatal(err)
	}
	data, err := json.Marshal(&declaration.Change{RuleVersion: 1, Section: "S", Base: int64(w.base), Author: "scenario", Text: text})
	if err != nil {
		w.t.Fatal(err)
	}
	operator := platform.NewClient(w.network.Process(operatorIP), logAddr, listAddr)
	defer operator.HTTP.CloseIdleConnections()
	id := fmt.Sprintf("change-%d", w.base)
	at, err := operator.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: id, Kind: section.ChangeKind, Data: data}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.base = at
}

// addHost declares a host; start begins a life of it.
func (w *cluster) addHost(name string) *testHost {
	addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.hosts) + 1)})
	h := &testHost{name: name, addr: addr, clock: &clock.Service{}}
	h.settings = settings.Settings{
		Name: name, LogAddr: logAddr, HostListAddr: listAddr,
		CallerAddr: netip.AddrPortFrom(addr, 80), PeerAddr: netip.AddrPortFrom(addr, 81),
	}
	h.settings.SetDefaults()
	for _, other := range w.hosts {
		h.settings.Peers = append(h.settings.Peers, settings.Peer{Name: other.name, Addr: other.settings.PeerAddr})
	}
	w.hosts[name] = h
	return h
}

func (w *cluster) start(h *testHost) {
	ctx, stop := context.WithCancel(context.Background())
	h.clock = &clock.Service{}
	h.network = &incarnationNetwork{Network: w.network.Process(h.addr)}
	h.stop, h.done = stop, make(chan struct{})
	s := h.settings
	life, err := host.New(&s, h.network, h.clock, zap.NewNop())
	if err != nil {
		w.t.Fatal(err)
	}
	life.Dispatcher.Rand = rand.New(rand.NewPCG(uint64(len(w.hosts)), 7))
	h.host = life
	w.running.Add(1)
	go func(done chan struct{}) {
		defer w.running.Done()
		defer close(done)
		if err := life.Run(ctx); err != nil {
			w.t.Errorf("host %s: %v", h.name, err)
		}
	}(h.done)
}

// ended reports whether the present life has ended.
func (h *testHost) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// kill ends a life at once, as SIGKILL does.
func (w *cluster) kill(h *testHost) {
	if h.network == nil {
		return
	}
	h.network.closed.Store(true)
	w.network.Kill(h.addr)
	h.stop()
}

// freeze stops a host as SIGSTOP does: no time passes for it and nothing leaves
// or reaches it.
func (w *cluster) freeze(h *testHost) {
	h.clock.Suspend()
	w.cutAll(h, w.network.Cut)
}

func (w *cluster) thaw(h *testHost) {
	w.cutAll(h, w.network.Heal)
	h.clock.Resume()
}

func (w *cluster) cutAll(h *testHost, change func(from, to netip.Addr)) {
	for _, name := range w.processes() {
		if a := w.addr(name); a != h.addr {
			change(h.addr, a)
			change(a, h.addr)
		}
	}
}

// processes returns the names that addr knows, sorted.
func (w *cluster) processes() []string {
	names := []string{"callers", "list", "log"}
	for name := range w.hosts {
		names = append(names, name)
	}
	for name := range w.targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// addr returns the IP number of a process by its name in scripts.
func (w *cluster) addr(name string) netip.Addr {
	switch name {
	case "log":
		return logAddr.Addr()
	case "list":
		return listAddr.Addr()
	case "callers":
		return callerIP
	}
	if h := w.hosts[name]; h != nil {
		return h.addr
	}
	if s := w.targets[name]; s != nil {
		return s.addr.Addr()
	}
	w.t.Fatalf("no process %q", name)
	return netip.Addr{}
}
