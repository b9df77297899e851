package order

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
)

var logAddr = netip.MustParseAddrPort("10.0.1.1:80")

// world is a log service, some hosts that give orders, and engines: the even
// ones check fencing numbers, the odd ones don't.
type cluster struct {
	t       *testing.T
	net     *link.Memory
	log     *standin.Log
	hosts   []*orderHost
	engines []*standin.Engine
	targets []declaration.Target
	servers []*http.Server

	mu   sync.Mutex
	view *declaration.View
}

// orderHost is one host; a killed one can be started again.
type orderHost struct {
	cluster    *cluster
	name       string
	addr       netip.Addr
	clock      *clock.Service
	mu         sync.Mutex
	members    *peer.Members
	leases     *lease.Manager
	reconciler *Reconciler
	cancel     context.CancelFunc
	done       sync.WaitGroup
	alive      bool
}

// Members returns the host's own view of who is alive.
func (h *orderHost) Members() *peer.Members {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members
}

func (h *orderHost) setMembers(hosts []peer.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = peer.NewMembers(hosts)
}

func newCluster(t *testing.T, skews []time.Duration, engines int) *cluster {
	w := newIdleCluster(t, skews, engines)
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

// newIdleWorld returns a world whose hosts aren't started.
func newIdleCluster(t *testing.T, skews []time.Duration, engines int) *cluster {
	w := &cluster{t: t, net: &link.Memory{Delay: time.Millisecond}, log: &standin.Log{}}
	w.serve(logAddr, w.log)
	for i := range engines {
		e := &standin.Engine{Models: []string{"m0"}, ChecksFencing: i%2 == 0}
		e.Name = fmt.Sprintf("e%d", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i + 1)}), 80)
		w.serve(addr, e)
		w.engines = append(w.engines, e)
		w.targets = append(w.targets, declaration.Target{Name: e.Name, Addr: addr, Models: []string{"m0"}, ChecksFencing: e.ChecksFencing})
	}
	w.declare("m1")
	for i, skew := range skews {
		h := &orderHost{cluster: w, name: fmt.Sprintf("h%d", i), addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), clock: &clock.Service{Skew: skew}}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.setMembers(w.membersWithout(-1))
	}
	return w
}

func (w *cluster) serve(addr netip.AddrPort, h http.Handler) {
	l, err := w.net.Process(addr.Addr()).Listen(addr)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go s.Serve(l)
}

// all returns the hosts without one.
func (w *cluster) membersWithout(without int) []peer.Host {
	var out []peer.Host
	for i, h := range w.hosts {
		if i != without {
			out = append(out, peer.Host{Name: h.name})
		}
	}
	return out
}

// declare adds a model to what every target shall have.
func (w *cluster) declare(model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = &declaration.View{Targets: map[string]*declaration.Target{}}
	for i := range w.targets {
		t := w.targets[i]
		t.Models = append(append([]string(nil), t.Models...), model)
		w.targets[i] = t
		w.view.Targets[t.Name] = &t
	}
}

func (w *cluster) currentView() *declaration.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (h *orderHost) start() {
	if h.alive {
		return
	}
	h.cluster.net.Revive(h.addr)
	network := h.cluster.net.Process(h.addr)
	log := platform.NewClient(network, logAddr, logAddr)
	reports := &http.Client{Transport: link.Transport(network)}
	h.leases = &lease.Manager{Clock: h.clock, Log: log, Members: h, Self: h.name}
	h.reconciler = &Reconciler{
		Clock:  h.clock,
		Leases: h.leases,
		Sender: &Sender{Clock: h.clock, Net: network},
		HTTP:   reports,
		View:   h.cluster.currentView,
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.alive = cancel, true
	leases, orders := h.leases, h.reconciler
	h.done.Go(func() { leases.Run(ctx) })
	h.done.Go(func() { orders.Run(ctx) })
	context.AfterFunc(ctx, func() {
		log.HTTP.CloseIdleConnections()
		reports.CloseIdleConnections()
	})
}

func (h *orderHost) kill() {
	if !h.alive {
		return
	}
	h.cluster.net.Kill(h.addr)
	h.cancel()
	h.clock.Resume()
	h.done.Wait()
	h.alive = false
}

// heal ends every fault but dead hosts.
func (w *cluster) heal() {
	w.log.SetFaults(standin.LogFaults{})
	for _, h := range w.hosts {
		h.clock.Resume()
		h.setMembers(w.membersWithout(-1))
		w.healLink(h, logAddr.Addr())
		for _, t := range w.targets {
			w.healLink(h, t.Addr.Addr())
			w.net.SetDelay(h.addr, t.Addr.Addr(), time.Millisecond)
		}
	}
}

func (w *cluster) healLink(h *orderHost, addr netip.Addr) {
	w.net.Heal(h.addr, addr)
	w.net.Heal(addr, h.addr)
}

func (w *cluster) close() {
	w.heal()
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, s := range w.servers {
		s.Close()
	}
}

// holders returns the hosts whose lease of a shard is valid at this moment by
// their own clocks.
func (w *cluster) holders(shard int) []string {
	var out []string
	for _, h := range w.hosts {
		if l := h.leases.Lookup(shard); h.alive && l != nil && l.Valid(time.Now().Add(h.clock.Skew)) {
			out = append(out, h.name)
		}
	}
	return out
}

// faults returns what breaks the promise: two valid holders, or an order that
// an engine took after one of a later holder.
func (w *cluster) violations() []string {
	var out []string
	for _, e := range w.engines {
		if names := w.holders(lease.ShardOf(e.Name)); len(names) > 1 {
			out = append(out, fmt.Sprintf("the shard of %s is held by %v", e.Name, names))
		}
		for _, o := range e.Orders() {
			if o.Order.Fence == 0 {
				out = append(out, fmt.Sprintf("%s took an order without a fencing number", e.Name))
			}
			if o.Stale {
				out = append(out, fmt.Sprintf("%s (checks fencing: %t) took a stale order for %s with fence %d", e.Name, e.ChecksFencing, o.Order.Model, o.Order.Fence))
			}
		}
	}
	return out
}

// missing returns the declared models that engines lack.
func (w *cluster) missingModels() []string {
	var out []string
	for i, e := range w.engines {
		have := map[string]bool{"m0": true}
		for _, o := range e.Orders() {
			have[o.Order.Model] = true
		}
		for _, m := range w.targets[i].Models {
			if !have[m] {
				out = append(out, fmt.Sprintf("%s lacks %s", e.Name, m))
			}
		}
	}
	return out
}
