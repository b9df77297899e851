package peer

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// cluster is a number of exchanges over in-memory links. It runs in a synctest
// bubble.
type cluster struct {
	t               *testing.T
	net             link.Memory
	bytes, received atomic.Int64
	nodes           []*node
	ctx             context.Context
}

// node is one incarnation of a host.
type node struct {
	*Exchange
	clock  clock.Service
	server *Server
	cancel context.CancelFunc
	done   chan struct{}
	offset atomic.Int64
	notes  atomic.Int64
	alive  bool
}

func (c *cluster) host(i int) Host {
	ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return Host{Name: fmt.Sprintf("h%d", i), Addr: netip.AddrPortFrom(ip, 81), Domain: fmt.Sprintf("d%d", i%8)}
}

// start starts host i. The first three hosts are the seeds of all.
func (c *cluster) start(i int) {
	self := c.host(i)
	self.Incarnation = time.Now().UnixNano()
	n := &node{done: make(chan struct{}), alive: true}
	n.Exchange = &Exchange{
		Self:  self,
		Net:   link.Counted{Network: c.net.Process(self.Addr.Addr()), Sent: &c.bytes, Received: &c.received},
		Clock: &n.clock,
		Offset: func() int64 {
			return n.offset.Load()
		},
		OnNewerOffset: func(_ Host, offset int64) {
			n.offset.Store(offset)
			go n.Announce()
		},
	}
	n.OnNote(CrashNote, func(Note) { n.notes.Add(1) })
	for s := range 3 {
		if s != i {
			n.Seeds = append(n.Seeds, c.host(s))
		}
	}
	n.server = &Server{RPC: rpc.NewServer()}
	if err := n.Register(n.server.RPC); err != nil {
		c.t.Fatal(err)
	}
	l, err := n.Net.Listen(self.Addr)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	n.cancel = func() { cancel(); l.Close(); n.server.Close() }
	go n.server.Serve(l)
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	for len(c.nodes) <= i {
		c.nodes = append(c.nodes, nil)
	}
	c.nodes[i] = n
}

// kill stops host i without notifying the others.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	n.alive = false
	c.net.Kill(n.Self.Addr.Addr())
	n.cancel()
	<-n.done
}

// stop stops every host.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.alive {
			n.clock.Resume()
			n.cancel()
			<-n.done
		}
	}
}

// agree reports whether the members of every live host are exactly the live
// hosts.
func (c *cluster) agree() bool {
	living := 0
	for _, n := range c.nodes {
		if n.alive {
			living++
		}
	}
	for _, n := range c.nodes {
		if !n.alive {
			continue
		}
		hosts := n.Members().Hosts
		if len(hosts) != living {
			return false
		}
		for _, h := range hosts {
			if !c.isCurrent(h) {
				return false
			}
		}
	}
	return true
}

// isCurrent reports whether h is the current incarnation of its host.
func (c *cluster) isCurrent(h Host) bool {
	for _, n := range c.nodes {
		if n.alive && n.Self.Name == h.Name {
			return h.Incarnation >= n.Self.Incarnation
		}
	}
	return false
}

// pollInterval is the time between two polls of a condition.
const pollInterval = 50 * time.Millisecond

// until waits for cond and returns the time that it took, or limit.
func until(limit time.Duration, cond func() bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !cond() {
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
