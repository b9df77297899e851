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

// fleet is a number of exchanges over in-memory links. It runs in a bubble.
type cluster struct {
	t               *testing.T
	net             link.Memory
	bytes, received atomic.Int64
	nodes           []*node
	ctx             context.Context
}

// node is one life of a host.
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

func (f *cluster) host(i int) Host {
	ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return Host{Name: fmt.Sprintf("h%d", i), Addr: netip.AddrPortFrom(ip, 81), Domain: fmt.Sprintf("d%d", i%8)}
}

// start starts host i; the first few hosts are the seeds of all.
func (f *cluster) start(i int) {
	self := f.host(i)
	self.Incarnation = time.Now().UnixNano()
	n := &node{done: make(chan struct{}), alive: true}
	n.Exchange = &Exchange{
		Self:  self,
		Net:   link.Counted{Network: f.net.Process(self.Addr.Addr()), Sent: &f.bytes, Received: &f.received},
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
			n.Seeds = append(n.Seeds, f.host(s))
		}
	}
	n.server = &Server{RPC: rpc.NewServer()}
	if err := n.Register(n.server.RPC); err != nil {
		f.t.Fatal(err)
	}
	l, err := n.Net.Listen(self.Addr)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = func() { cancel(); l.Close(); n.server.Close() }
	go n.server.Serve(l)
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	for len(f.nodes) <= i {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[i] = n
}

// kill ends host i without a word to the others.
func (f *cluster) kill(i int) {
	n := f.nodes[i]
	n.alive = false
	f.net.Kill(n.Self.Addr.Addr())
	n.cancel()
	<-n.done
}

// stop ends every host.
func (f *cluster) stop() {
	for _, n := range f.nodes {
		if n.alive {
			n.clock.Resume()
			n.cancel()
			<-n.done
		}
	}
}

// agree reports whether every living host believes exactly the living ones
// members.
func (f *cluster) agree() bool {
	living := 0
	for _, n := range f.nodes {
		if n.alive {
			living++
		}
	}
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		hosts := n.Members().Hosts
		if len(hosts) != living {
			return false
		}
		for _, h := range hosts {
			if !f.isCurrent(h) {
				return false
			}
		}
	}
	return true
}

// isLife reports whether h is the present life of its host.
func (f *cluster) isCurrent(h Host) bool {
	for _, n := range f.nodes {
		if n.alive && n.Self.Name == h.Name {
			return h.Incarnation >= n.Self.Incarnation
		}
	}
	return false
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 50 * time.Millisecond

// until waits for cond and returns the time that it took, or limit.
func until(limit time.Duration, cond func() bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !cond() {
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
