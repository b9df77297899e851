package stage

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// fixedMembers is a membership that tests set.
type fixedMembers struct{ members *peer.Members }

func (f *fixedMembers) Members() *peer.Members { return f.members }

// fleetOf is a few hosts with a former and a client each.
type cluster struct {
	network  *link.Memory
	members  *fixedMembers
	hosts    []peer.Host
	pools    []*fakePool
	batchers []*Batcher
	clients  []*Client
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	cl := &cluster{network: &link.Memory{Delay: 500 * time.Microsecond}, members: &fixedMembers{}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 81)
		cl.hosts = append(cl.hosts, peer.Host{Name: addr.String(), Addr: addr})
	}
	cl.members.members = peer.NewMembers(cl.hosts)
	for _, h := range cl.hosts {
		cl.startHost(t, h)
	}
	return cl
}

// serve starts a former at h, on the way from the host's start.
func (cl *cluster) startBatcher(t *testing.T, h peer.Host) (*Batcher, *fakePool) {
	pool := &fakePool{}
	former := newBatcher(t, pool, 2, testPool())
	former.Self = h.Name
	s := &peer.Server{RPC: rpc.NewServer()}
	if err := former.Register(s.RPC); err != nil {
		t.Fatal(err)
	}
	l, err := cl.network.Process(h.Addr.Addr()).Listen(h.Addr)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return former, pool
}

func (cl *cluster) startHost(t *testing.T, h peer.Host) {
	former, pool := cl.startBatcher(t, h)
	c := &Client{
		Clock: &clock.Service{}, Log: zap.NewNop(), Self: h.Name, Members: cl.members, Batcher: former,
		Peers: &peer.Caller{Net: cl.network.Process(h.Addr.Addr())},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Watch(ctx) }()
	t.Cleanup(func() { cancel(); <-done; c.Peers.Close() })
	cl.pools = append(cl.pools, pool)
	cl.batchers = append(cl.batchers, former)
	cl.clients = append(cl.clients, c)
}

// holder is the index of the host that holds the service of the tests.
func (cl *cluster) holder() int {
	name := cl.members.members.Holder("s").Name
	for i, h := range cl.hosts {
		if h.Name == name {
			return i
		}
	}
	return -1
}

// other is the index of a host that does not hold the service.
func (cl *cluster) nonHolder() int { return (cl.holder() + 1) % len(cl.hosts) }

// TestHolderFormsCalls expects the calls of all hosts at the holder.
func TestHolderFormsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		for _, c := range cl.clients {
			o, err := c.Run(t.Context(), testJob("r", 2))
			if err != nil || o.Fault != None || len(o.Results) != 2 {
				t.Errorf("outcome %+v, %v", o, err)
			}
		}
		got := []int{len(cl.pools[0].calls), len(cl.pools[1].calls), len(cl.pools[2].calls)}
		want := make([]int, 3)
		want[cl.holder()] = 3
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("calls by host (-want +got):\n%s", diff)
		}
	})
}

// TestSilentHolder cuts the holder off while it has a job: the job runs
// elsewhere within the bound of docs/design/platform.md.
func TestSilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		other := cl.nonHolder()
		cl.pools[cl.holder()].fail = nil
		cut := testCallTime / 2
		time.AfterFunc(cut, func() {
			cl.network.Cut(cl.hosts[cl.holder()].Addr.Addr(), cl.hosts[other].Addr.Addr())
		})
		start := time.Now()
		o, err := cl.clients[other].Run(t.Context(), testJob("r", 2))
		took := time.Since(start)
		if err != nil || o.Fault != None || !o.Sent {
			t.Errorf("outcome %+v, %v", o, err)
		}
		if bound := cut + (maxMissedPings+1)*pingInterval + pingTimeout + 2*testCallTime; took > bound {
			t.Errorf("took %v, bound %v", took, bound)
		}
	})
}

// calls returns the number of calls by host.
func (cl *cluster) callsByHost() []int {
	var out []int
	for _, p := range cl.pools {
		out = append(out, len(p.calls))
	}
	return out
}

// TestResetConnection resets the connection to the holder while it has a job,
// and again when it has answered: it goes on with the job.
func TestResetConnection(t *testing.T) {
	for _, at := range []time.Duration{testCallTime / 2, testCallTime + 200*time.Microsecond} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 3)
			holder, other := cl.holder(), cl.nonHolder()
			time.AfterFunc(at, func() { cl.network.Reset(cl.hosts[holder].Addr.Addr(), cl.hosts[other].Addr.Addr()) })
			o, err := cl.clients[other].Run(t.Context(), testJob("r", 2))
			if err != nil || o.Fault != None || len(o.Results) != 2 {
				t.Errorf("outcome %+v, %v", o, err)
			}
			want := make([]int, 3)
			want[holder] = 1
			if diff := cmp.Diff(want, cl.callsByHost()); diff != "" {
				t.Errorf("reset at %v: calls by host (-want +got):\n%s", at, diff)
			}
		})
	}
}

// TestHolderIsBack kills the holder and starts it again: new jobs go there as
// soon as it answers.
func TestHolderIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		holder, other := cl.holder(), cl.nonHolder()
		cl.network.Kill(cl.hosts[holder].Addr.Addr())
		if _, err := cl.clients[other].Run(t.Context(), testJob("r", 2)); err != nil {
			t.Fatal(err)
		}
		cl.network.Revive(cl.hosts[holder].Addr.Addr())
		_, pool := cl.startBatcher(t, cl.hosts[holder])
		time.Sleep(2 * pingInterval)
		if _, err := cl.clients[other].Run(t.Context(), testJob("q", 2)); err != nil {
			t.Fatal(err)
		}
		if len(pool.calls) != 1 {
			t.Errorf("the holder formed %d calls after it came back, want 1", len(pool.calls))
		}
	})
}

// TestManyDead kills most hosts before the others know: jobs of all of the
// living come together at one of them.
func TestManyDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 12)
		left := cl.members.members
		for range 9 {
			h := left.Holder("s")
			left = left.Without(h.Name)
			cl.network.Kill(h.Addr.Addr())
		}
		holder := left.Holder("s").Name
		for i, h := range cl.hosts {
			if _, alive := left.Find(h.Name); !alive {
				continue
			}
			if _, err := cl.clients[i].Run(t.Context(), testJob("r", 2)); err != nil {
				t.Fatal(err)
			}
		}
		for i, h := range cl.hosts {
			want := 0
			if h.Name == holder {
				want = 3
			}
			if n := len(cl.pools[i].calls); n != want {
				t.Errorf("host %d formed %d calls, want %d", i, n, want)
			}
		}
	})
}

// TestRetiredHolder expects jobs that wait at a former that shuts down to run
// at the next one, and a host without any other to form its own calls.
func TestRetiredHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.batchers[cl.holder()].Retire()
		o, err := cl.clients[cl.nonHolder()].Run(t.Context(), testJob("r", 2))
		if err != nil || o.Fault != None {
			t.Errorf("outcome %+v, %v", o, err)
		}
		for _, former := range cl.batchers {
			former.Retire()
		}
		o, err = cl.clients[cl.nonHolder()].Run(t.Context(), testJob("q", 2))
		if err != nil || o.Fault != None {
			t.Errorf("with all formers retired: outcome %+v, %v", o, err)
		}
	})
}

// TestFreeAfterMove frees results of a holder after another one holds the
// service: the room counts as free again where it was counted.
func TestFreeAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		holder, other := cl.holder(), cl.nonHolder()
		o, err := cl.clients[other].Run(t.Context(), testJob("r", 2))
		if err != nil {
			t.Fatal(err)
		}
		// The client passes the holder over from now on.
		cl.clients[other].skip(cl.hosts[holder])
		cl.clients[other].Free(o.Results)
		time.Sleep(time.Second)
		held := int64(0)
		cl.batchers[holder].do(func() {
			for _, s := range cl.batchers[holder].queue("s").targetStates {
				held += s.heldBytes
			}
		})
		if held != 0 || cl.pools[holder].freed != 2 {
			t.Errorf("%d bytes are held, %d results were freed", held, cl.pools[holder].freed)
		}
	})
}

// TestRoomOfSharedTarget frees results of a target that another service's queue
// knows too: a former once took the room off the wrong one.
func TestMemoryOfSharedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		cl := newBatcher(t, pool, 1, testPool())
		for range 20 {
			cl.do(func() { cl.queue(fmt.Sprint(len(cl.queues))).targetState("t0") })
		}
		o := cl.Submit(t.Context(), testJob("a", 4))
		cl.Free(o.Results)
		time.Sleep(time.Second)
		cl.do(func() {
			if held := cl.queue("s").targetState("t0").heldBytes; held != 0 {
				t.Errorf("%d bytes are held", held)
			}
		})
	})
}

// TestUsual expects the usual time to follow jobs that were on time alone.
func TestUsualTime(t *testing.T) {
	c := &Client{Clock: &clock.Service{}}
	j := Job{Service: "s", Due: time.Second}
	c.recordOutcome(j, Outcome{Queued: 100 * time.Millisecond, Ran: 200 * time.Millisecond})
	c.recordOutcome(j, Outcome{Queued: 900 * time.Millisecond, Ran: 200 * time.Millisecond})
	c.recordOutcome(j, Outcome{Fault: Late, Queued: 10 * time.Millisecond})
	if diff := cmp.Diff(300*time.Millisecond, c.UsualTime("s")); diff != "" {
		t.Errorf("usual time (-want +got):\n%s", diff)
	}
}
