package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"net/rpc"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
)

// sharedScript runs a script against the dispatchers of several hosts that share
// one pool, in a synctest bubble. The holder of the pool's only shard is called
// holder, its successor next, and the others a, b and so on.
//
//	hosts N slots=N     starts N hosts; targets t1 and t2 have that many slots each
//	acquire HOST ID ... [deadline=D]
//	done HOST ID ...
//	freeze|thaw|kill|cut|heal HOST    cut partitions it from all its peers
//	wait D
//
// acquire, done and wait print what was granted since the last command, and how
// many attempts run.
type sharedScript struct {
	t   *testing.T
	ctx context.Context
	net link.Memory

	hosts map[string]*testHost

	mu      sync.Mutex
	events  []string
	running map[string]*Grant
}

type testHost struct {
	*Dispatcher
	addr   netip.Addr
	clock  *clock.Service
	cancel context.CancelFunc
	peers  *peer.Server
}

func TestShared(t *testing.T) {
	datadriven.Walk(t, "testdata/shared", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &sharedScript{t: t, ctx: ctx, hosts: map[string]*testHost{}, running: map[string]*Grant{}}
			s.net.Delay = 500 * time.Microsecond
			defer s.stop(cancel)
			datadriven.RunTest(t, path, s.command)
		})
	})
}

func (s *sharedScript) stop(cancel func()) {
	cancel()
	for _, h := range s.hosts {
		h.clock.Resume()
		h.cancel()
		h.peers.Close()
		h.Caller.Close()
		s.net.Kill(h.addr)
	}
}

func (s *sharedScript) command(t *testing.T, d *datadriven.TestData) string {
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	h := s.hosts[name]
	switch d.Cmd {
	case "hosts":
		s.startHosts(d)
	case "acquire":
		for _, a := range d.CmdArgs[1:] {
			if a.Key != "deadline" {
				go s.acquire(h, a.Key, scanDuration(t, d, "deadline", time.Minute))
				time.Sleep(10 * time.Millisecond)
			}
		}
		return s.takeEvents()
	case "done":
		for _, a := range d.CmdArgs[1:] {
			s.done(h, a.Key)
			time.Sleep(10 * time.Millisecond)
		}
		return s.takeEvents()
	case "freeze":
		h.clock.Suspend()
	case "thaw":
		h.clock.Resume()
	case "kill":
		h.cancel()
		h.peers.Close()
		s.net.Kill(h.addr)
	case "cut", "heal":
		s.setCut(h, d.Cmd == "cut")
	case "wait":
		v, err := time.ParseDuration(name)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		time.Sleep(v)
		return s.takeEvents()
	default:
		d.Fatalf(t, "unknown command")
	}
	return "ok\n"
}

// startHosts starts the hosts and names them by their rank as holder of the shard.
func (s *sharedScript) startHosts(d *datadriven.TestData) {
	var count, slots int
	fmt.Sscan(d.CmdArgs[0].Key, &count)
	d.ScanArgs(s.t, "slots", &slots)
	view := &declaration.View{Targets: map[string]*declaration.Target{}}
	for _, name := range []string{"t1", "t2"} {
		view.Targets[name] = &declaration.Target{Name: name, Pool: "P", Slots: slots}
	}
	var hosts []peer.Host
	for i := range count {
		addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		hosts = append(hosts, peer.Host{Name: fmt.Sprintf("host-%d", i), Addr: netip.AddrPortFrom(addr, 81)})
	}
	key := shardKey{Pool: "P"}.holderKey()
	for i, name := range s.names(hosts, key) {
		s.hosts[name] = s.start(i, hosts, view)
	}
	time.Sleep(3 * time.Second)
}

// names returns the name of each host in the script.
func (s *sharedScript) names(hosts []peer.Host, key string) []string {
	holder := peer.NewMembers(hosts).Holder(key).Name
	var others []peer.Host
	for _, h := range hosts {
		if h.Name != holder {
			others = append(others, h)
		}
	}
	next := peer.NewMembers(others).Holder(key).Name
	out, letter := []string{}, 'a'
	for _, h := range hosts {
		switch h.Name {
		case holder:
			out = append(out, "holder")
		case next:
			out = append(out, "next")
		default:
			out = append(out, string(letter))
			letter++
		}
	}
	return out
}

func (s *sharedScript) start(i int, hosts []peer.Host, view *declaration.View) *testHost {
	self := hosts[i]
	ctx, cancel := context.WithCancel(s.ctx)
	h := &testHost{addr: self.Addr.Addr(), clock: &clock.Service{}, cancel: cancel, peers: &peer.Server{RPC: rpc.NewServer()}}
	net := s.net.Process(h.addr)
	x := &peer.Exchange{Self: self, Seeds: hosts, Net: net, Clock: h.clock, Caller: &peer.Caller{Net: net}}
	r := &target.Registry{Self: self.Name, Clock: h.clock}
	r.Publish(view)
	h.Dispatcher = &Dispatcher{Clock: h.clock, Targets: r, Exchange: x, Caller: x.Caller, Policy: SharedQueue{}, Stats: NewStats(), Rand: rand.New(rand.NewPCG(1, uint64(i)))}
	l, err := net.Listen(self.Addr)
	if err == nil {
		err = x.Register(h.peers.RPC)
	}
	if err == nil {
		err = h.peers.RPC.RegisterName(h.Dispatcher.Service())
	}
	if err != nil {
		s.t.Fatal(err)
	}
	go h.peers.Serve(l)
	go x.Run(ctx)
	go h.Dispatcher.Run(ctx)
	return h
}

func (s *sharedScript) acquire(h *testHost, id string, limit time.Duration) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	g, err := h.Acquire(ctx, SlotRequest{AttemptID: id, Pool: "P", Deadline: start.Add(limit), NothingRan: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.events = append(s.events, fmt.Sprintf("%s: %v", id, err))
		return
	}
	s.running[id] = g
	from := "own share"
	if held, ok := g.source.(holderSource); ok {
		from = s.nameOf(held.holder(h.Dispatcher).Addr.Addr())
	}
	s.events = append(s.events, fmt.Sprintf("%s: by %s", id, from))
}

func (s *sharedScript) nameOf(addr netip.Addr) string {
	for name, h := range s.hosts {
		if h.addr == addr {
			return name
		}
	}
	return "?"
}

func (s *sharedScript) done(h *testHost, id string) {
	s.mu.Lock()
	g := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	h.Done(g, Outcome{Kind: Succeeded, Took: 100 * time.Millisecond})
}

func (s *sharedScript) setCut(h *testHost, cut bool) {
	for _, o := range s.hosts {
		if o == h {
			continue
		}
		if cut {
			s.net.Cut(h.addr, o.addr)
			s.net.Cut(o.addr, h.addr)
		} else {
			s.net.Heal(h.addr, o.addr)
			s.net.Heal(o.addr, h.addr)
		}
	}
}

func (s *sharedScript) takeEvents() string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.Strings(s.events)
	out := strings.Join(append(s.events, fmt.Sprintf("running: %d", len(s.running))), "\n") + "\n"
	s.events = nil
	return out
}
