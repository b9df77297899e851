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

// cluster is a log service, some hosts that send orders, and engines. Engines
// with an even index check fencing numbers, the others don't.
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

// orderHost is one host. It can be started again after a kill.
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

// Members returns the host's view of which hosts are alive.
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
	c := newIdleCluster(t, skews, engines)
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

// newIdleCluster returns a cluster whose hosts aren't started.
func newIdleCluster(t *testing.T, skews []time.Duration, engines int) *cluster {
	c := &cluster{t: t, net: &link.Memory{Delay: time.Millisecond}, log: &standin.Log{}}
	c.serve(logAddr, c.log)
	for i := range engines {
		e := &standin.Engine{Models: []string{"m0"}, ChecksFencing: i%2 == 0}
		e.Name = fmt.Sprintf("e%d", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i + 1)}), 80)
		c.serve(addr, e)
		c.engines = append(c.engines, e)
		c.targets = append(c.targets, declaration.Target{Name: e.Name, Addr: addr, Models: []string{"m0"}, ChecksFencing: e.ChecksFencing})
	}
	c.declare("m1")
	for i, skew := range skews {
		h := &orderHost{cluster: c, name: fmt.Sprintf("h%d", i), addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), clock: &clock.Service{Skew: skew}}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		h.setMembers(c.membersWithout(-1))
	}
	return c
}

func (c *cluster) serve(addr netip.AddrPort, h http.Handler) {
	l, err := c.net.Process(addr.Addr()).Listen(addr)
	if err != nil {
		c.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go s.Serve(l)
}

// membersWithout returns the hosts except the one with index without; -1 excludes
// none.
func (c *cluster) membersWithout(without int) []peer.Host {
	var out []peer.Host
	for i, h := range c.hosts {
		if i != without {
			out = append(out, peer.Host{Name: h.name})
		}
	}
	return out
}

// declare adds a model to the declared models of every target.
func (c *cluster) declare(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = &declaration.View{Targets: map[string]*declaration.Target{}}
	for i := range c.targets {
		t := c.targets[i]
		t.Models = append(append([]string(nil), t.Models...), model)
		c.targets[i] = t
		c.view.Targets[t.Name] = &t
	}
}

func (c *cluster) currentView() *declaration.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
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
	leases, reconciler := h.leases, h.reconciler
	h.done.Go(func() { leases.Run(ctx) })
	h.done.Go(func() { reconciler.Run(ctx) })
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

// heal ends all faults, but doesn't start dead hosts.
func (c *cluster) heal() {
	c.log.SetFaults(standin.LogFaults{})
	for _, h := range c.hosts {
		h.clock.Resume()
		h.setMembers(c.membersWithout(-1))
		c.healLink(h, logAddr.Addr())
		for _, t := range c.targets {
			c.healLink(h, t.Addr.Addr())
			c.net.SetDelay(h.addr, t.Addr.Addr(), time.Millisecond)
		}
	}
}

func (c *cluster) healLink(h *orderHost, addr netip.Addr) {
	c.net.Heal(h.addr, addr)
	c.net.Heal(addr, h.addr)
}

func (c *cluster) close() {
	c.heal()
	time.Sleep(time.Second)
	for _, h := range c.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, s := range c.servers {
		s.Close()
	}
}

// holders returns the hosts whose lease of a shard is valid now by their own
// clocks.
func (c *cluster) holders(shard int) []string {
	var out []string
	for _, h := range c.hosts {
		if l := h.leases.Lookup(shard); h.alive && l != nil && l.Valid(time.Now().Add(h.clock.Skew)) {
			out = append(out, h.name)
		}
	}
	return out
}

// violations reports two valid holders of one shard, orders without a fencing
// number, and orders that an engine took after one of a later holder.
func (c *cluster) violations() []string {
	var out []string
	for _, e := range c.engines {
		if names := c.holders(lease.ShardOf(e.Name)); len(names) > 1 {
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

// missingModels returns the declared models that engines lack.
func (c *cluster) missingModels() []string {
	var out []string
	for i, e := range c.engines {
		have := map[string]bool{"m0": true}
		for _, o := range e.Orders() {
			have[o.Order.Model] = true
		}
		for _, m := range c.targets[i].Models {
			if !have[m] {
				out = append(out, fmt.Sprintf("%s lacks %s", e.Name, m))
			}
		}
	}
	return out
}
