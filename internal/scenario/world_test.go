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
type world struct {
	t       testing.TB
	mem     *link.Memory
	log     *standin.Log
	list    *standin.HostList
	section declaration.Section
	base    platform.Offset // of the section's last change
	hosts   map[string]*hostSite
	targets map[string]*targetSite
	calls   map[string]*call
	trace   trace
	lives   sync.WaitGroup
	servers []*standin.Server
	client  *http.Client
	keys    int // keys made so far
}

// hostSite is one host of the system, through all its lives.
type hostSite struct {
	name     string
	addr     netip.Addr
	settings settings.Settings
	clock    *clock.Service
	net      *lifeNetwork
	stop     context.CancelFunc
	done     chan struct{}
	host     *host.Host
}

// lifeNetwork is the network of one life of a host: after its end nothing can
// be dialled.
type lifeNetwork struct {
	link.Network
	dead atomic.Bool
}

func (n *lifeNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if n.dead.Load() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.Dial(ctx, addr)
}

// newWorld starts the platform.
func newWorld(t testing.TB) *world {
	w := &world{
		t:       t,
		mem:     &link.Memory{Delay: linkDelay},
		log:     &standin.Log{},
		list:    &standin.HostList{},
		hosts:   map[string]*hostSite{},
		targets: map[string]*targetSite{},
		calls:   map[string]*call{},
	}
	w.section.Workspaces = []declaration.Workspace{{Name: "W"}}
	w.client = &http.Client{Transport: link.Transport(w.mem.Process(callerIP))}
	w.serve(logAddr, w.log)
	w.serve(listAddr, w.list)
	return w
}

func (w *world) serve(addr netip.AddrPort, h http.Handler) {
	s := &standin.Server{Net: w.mem.Process(addr.Addr()), Addr: addr, Handler: h}
	if err := s.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, s)
}

// close ends every process.
func (w *world) close() {
	for _, c := range w.calls {
		c.cancel()
	}
	for _, h := range w.hosts {
		w.thaw(h)
		w.kill(h)
	}
	w.client.CloseIdleConnections()
	w.lives.Wait()
	for _, s := range w.servers {
		s.Stop()
	}
	time.Sleep(time.Second) // servers linger on connections that they close
}

// publish appends the declared section as a change.
func (w *world) publish() {
	text, err := json.Marshal(&w.section)
	if err != nil {
		w.t.Fatal(err)
	}
	data, err := json.Marshal(&declaration.Change{RuleVersion: 1, Section: "S", Base: int64(w.base), Author: "scenario", Text: text})
	if err != nil {
		w.t.Fatal(err)
	}
	operator := platform.NewClient(w.mem.Process(operatorIP), logAddr, listAddr)
	defer operator.HTTP.CloseIdleConnections()
	id := fmt.Sprintf("change-%d", w.base)
	at, err := operator.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: id, Kind: section.ChangeKind, Data: data}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.base = at
}

// addHost declares a host; start begins a life of it.
func (w *world) addHost(name string) *hostSite {
	addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.hosts) + 1)})
	h := &hostSite{name: name, addr: addr, clock: &clock.Service{}}
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

func (w *world) start(h *hostSite) {
	ctx, stop := context.WithCancel(context.Background())
	h.clock = &clock.Service{}
	h.net = &lifeNetwork{Network: w.mem.Process(h.addr)}
	h.stop, h.done = stop, make(chan struct{})
	s := h.settings
	life, err := host.New(&s, h.net, h.clock, zap.NewNop())
	if err != nil {
		w.t.Fatal(err)
	}
	life.Dispatcher.Rand = rand.New(rand.NewPCG(uint64(len(w.hosts)), 7))
	h.host = life
	w.lives.Add(1)
	go func(done chan struct{}) {
		defer w.lives.Done()
		defer close(done)
		if err := life.Run(ctx); err != nil {
			w.t.Errorf("host %s: %v", h.name, err)
		}
	}(h.done)
}

// ended reports whether the present life has ended.
func (h *hostSite) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// kill ends a life at once, as SIGKILL does.
func (w *world) kill(h *hostSite) {
	if h.net == nil {
		return
	}
	h.net.dead.Store(true)
	w.mem.Kill(h.addr)
	h.stop()
}

// freeze stops a host as SIGSTOP does: no time passes for it and nothing leaves
// or reaches it.
func (w *world) freeze(h *hostSite) {
	h.clock.Suspend()
	w.cutAll(h, w.mem.Cut)
}

func (w *world) thaw(h *hostSite) {
	w.cutAll(h, w.mem.Heal)
	h.clock.Resume()
}

func (w *world) cutAll(h *hostSite, change func(from, to netip.Addr)) {
	for _, name := range w.processes() {
		if a := w.addr(name); a != h.addr {
			change(h.addr, a)
			change(a, h.addr)
		}
	}
}

// processes returns the names that addr knows, sorted.
func (w *world) processes() []string {
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
func (w *world) addr(name string) netip.Addr {
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
