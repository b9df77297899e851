package placement

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// cluster is a set of hosts with a holder and a client each.
type cluster struct {
	network *link.Memory
	members *peer.Members
	clients []*Client
}

func (cl *cluster) Members() *peer.Members { return cl.members }

func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	cl := &cluster{network: &link.Memory{Delay: 500 * time.Microsecond}}
	var list []peer.Host
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 81)
		list = append(list, peer.Host{Name: addr.String(), Addr: addr})
	}
	cl.members = peer.NewMembers(list)
	for _, h := range list {
		cl.startHost(t, h)
	}
	return cl
}

func (cl *cluster) startHost(t *testing.T, h peer.Host) {
	snapshot := &catalog.Snapshot{Targets: map[string][]*catalog.Target{"s": {{ID: "a", Slots: 4, Born: 1}, {ID: "b", Slots: 4, Born: 1}, {ID: "c", Slots: 4, Born: 1}}}}
	c := &clock.Service{}
	holder := &Holder{Clock: c, Log: zap.NewNop(), Catalog: func() *catalog.Snapshot { return snapshot }, Quotas: newQuotas()}
	s := &peer.Server{RPC: rpc.NewServer()}
	if err := holder.Register(s.RPC); err != nil {
		t.Fatal(err)
	}
	l, err := cl.network.Process(h.Addr.Addr()).Listen(h.Addr)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	client := &Client{Self: h.Name, Clock: c, Log: zap.NewNop(), Holders: &peer.Picker{Clock: c, Members: cl.Members}, Peers: &peer.Caller{Net: cl.network.Process(h.Addr.Addr())}, Holder: holder}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; l.Close(); s.Close(); client.Peers.Close() })
	cl.clients = append(cl.clients, client)
}

func (cl *cluster) holder() int {
	name := cl.members.Holder("s").Name
	for i, c := range cl.clients {
		if c.Self == name {
			return i
		}
	}
	return -1
}

// targetLoad returns the pending tokens and the requests at target in the holder's
// load table.
func (cl *cluster) targetLoad(target string) (pending float64, requests int) {
	h := cl.clients[cl.holder()].Holder
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.tables["s"].targets[target]
	if s == nil {
		return 0, 0
	}
	return s.pendingTokens, len(s.requests)
}

func work() Work {
	return Work{Service: "s", Parts: []Part{{ID: "p", Tokens: 4000}, {ID: "own", Tokens: 4000}}}
}

// TestHostsSpread sends requests with the same prompt from different hosts, each
// of which sees only its own, and expects them to spread over the targets.
func TestHostsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 6)
		got := map[string]int{}
		for _, c := range cl.clients {
			got[c.Choose(t.Context(), work()).Choice.Target]++
		}
		if diff := cmp.Diff(map[string]int{"a": 2, "b": 2, "c": 2}, got); diff != "" {
			t.Errorf("requests by target (-want +got):\n%s", diff)
		}
	})
}

// TestReports expects reports to update a request at the holder and to remove it
// when it ends.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		l := cl.clients[(cl.holder()+1)%3].Choose(t.Context(), work())
		l.Begun()
		time.Sleep(2 * reportDelay)
		if pending, n := cl.targetLoad(l.Choice.Target); pending != 0 || n != 1 {
			t.Errorf("after the first event: %v tokens pending, %d requests", pending, n)
		}
		l.End(Answered)
		l.End(Abandoned)
		time.Sleep(2 * reportDelay)
		if _, n := cl.targetLoad(l.Choice.Target); n != 0 {
			t.Errorf("%d requests are kept", n)
		}
	})
}

// TestLostHolder cuts the holder off and then kills it, and expects the next one
// to answer within the bound and at once from then on.
func TestLostHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		holder := cl.members.Holder("s").Addr.Addr()
		c := cl.clients[(cl.holder()+1)%3]
		self, _ := cl.members.Find(c.Self)
		cl.network.Cut(self.Addr.Addr(), holder)
		for i, bound := range []time.Duration{chooseTimeout + 20*time.Millisecond, 20 * time.Millisecond} {
			start := time.Now()
			if l := c.Choose(t.Context(), work()); l == nil {
				t.Errorf("request %d: no answer", i)
			}
			if took := time.Since(start); took > bound {
				t.Errorf("request %d took %v, bound %v", i, took, bound)
			}
		}
		cl.network.Kill(holder)
		time.Sleep(2 * skipTime)
		if l := c.Choose(t.Context(), work()); l == nil {
			t.Error("no answer after the holder died")
		}
	})
}

// TestSilentHostIsForgotten expects the requests of a dead host not to count after
// hostTimeout, and those of a live one to count longer.
func TestSilentHostIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		dies, lives := cl.clients[(cl.holder()+1)%3], cl.clients[(cl.holder()+2)%3]
		dies.Choose(t.Context(), work())
		lives.Choose(t.Context(), work())
		h, _ := cl.members.Find(dies.Self)
		cl.network.Kill(h.Addr.Addr())
		time.Sleep(hostTimeout + time.Second)
		lives.Choose(t.Context(), work())
		kept := 0
		for _, target := range []string{"a", "b", "c"} {
			_, n := cl.targetLoad(target)
			kept += n
		}
		if kept != 2 {
			t.Errorf("%d requests are kept, want the 2 of the live host", kept)
		}
	})
}

// TestLostReports replays a time in which connections between hosts go silent:
// the ends of requests are not reported, and choices are made of which their host
// never hears. Once new connections work, the holder must count only what is open,
// and later requests must spread over all targets. A request whose end was lost once
// made its target look ever slower, so that all requests went to the few others.
func TestLostReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		holder := cl.members.Holder("s").Addr.Addr()
		c := cl.clients[(cl.holder()+1)%3]
		self, _ := cl.members.Find(c.Self)
		long := c.Choose(t.Context(), work())
		long.Begun()
		lost := []*Lease{c.Choose(t.Context(), work()), c.Choose(t.Context(), work())}
		// The silence begins just after a heartbeat, so that the holder does not forget
		// the host.
		time.Sleep(heartbeatInterval + 10*time.Millisecond)
		here, there := []netip.Addr{self.Addr.Addr()}, []netip.Addr{holder}
		cl.network.Partition(here, there)
		for _, l := range lost {
			l.End(Answered)
		}
		time.Sleep(reportTimeout + 2*reportDelay)
		cl.network.HealPartition(here, there)
		cl.network.Cut(holder, self.Addr.Addr())
		c.Choose(t.Context(), work()).End(Answered)
		cl.network.HealPartition(here, there)
		time.Sleep(listDelay + 2*heartbeatInterval)
		open := 0
		for _, target := range []string{"a", "b", "c"} {
			_, n := cl.targetLoad(target)
			open += n
		}
		if open != 1 {
			t.Errorf("the holder counts %d requests, want the one that is open", open)
		}
		time.Sleep(time.Minute)
		used := map[string]bool{}
		for i := range 6 {
			w := work()
			w.Parts[0].ID = fmt.Sprint(i)
			used[c.Choose(t.Context(), w).Choice.Target] = true
		}
		if len(used) != 3 {
			t.Errorf("six requests use the targets %v, want all three", used)
		}
	})
}
