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

// fixedMembers is a fixed membership.
type fixedMembers struct{ members *peer.Members }

func (f *fixedMembers) Members() *peer.Members { return f.members }

// cluster is a set of hosts with a batcher and a client each.
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

// startBatcher starts a batcher and its RPC server at h.
func (cl *cluster) startBatcher(t *testing.T, h peer.Host) (*Batcher, *fakePool) {
	pool := &fakePool{}
	batcher := newBatcher(t, pool, 2, testPool())
	batcher.Self = h.Name
	s := &peer.Server{RPC: rpc.NewServer()}
	if err := batcher.Register(s.RPC); err != nil {
		t.Fatal(err)
	}
	l, err := cl.network.Process(h.Addr.Addr()).Listen(h.Addr)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return batcher, pool
}

func (cl *cluster) startHost(t *testing.T, h peer.Host) {
	batcher, pool := cl.startBatcher(t, h)
	c := &Client{
		Clock: &clock.Service{}, Log: zap.NewNop(), Self: h.Name, Members: cl.members, Batcher: batcher,
		Peers: &peer.Caller{Net: cl.network.Process(h.Addr.Addr())},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Watch(ctx) }()
	t.Cleanup(func() { cancel(); <-done; c.Peers.Close() })
	cl.pools = append(cl.pools, pool)
	cl.batchers = append(cl.batchers, batcher)
	cl.clients = append(cl.clients, c)
}

// holder returns the index of the host that holds the tests' service.
func (cl *cluster) holder() int {
	name := cl.members.members.Holder("s").Name
	for i, h := range cl.hosts {
		if h.Name == name {
			return i
		}
	}
	return -1
}

// nonHolder returns the index of a host that does not hold the tests' service.
func (cl *cluster) nonHolder() int { return (cl.holder() + 1) % len(cl.hosts) }

// TestHolderFormsCalls expects the holder to form the calls of all hosts.
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

// TestSilentHolder cuts the holder off while it has a job, and expects the job to
// run elsewhere within the bound of docs/design/platform.md.
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
			t.Errorf("job took %v, bound %v", took, bound)
		}
	})
}

// TestSilentConnection lets the connection to the holder go silent without a reset
// while it runs a job or just after it has answered. New connections work, so the
// holder must form one call only, and later jobs must go there too: a second batcher
// would fill fewer calls and count the same memory again.
func TestSilentConnection(t *testing.T) {
	for _, at := range []time.Duration{testCallTime / 2, testCallTime + 20*time.Millisecond + 700*time.Microsecond} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 3)
			holder, other := cl.holder(), cl.nonHolder()
			time.AfterFunc(at, func() { cl.network.Silence(cl.hosts[holder].Addr.Addr(), cl.hosts[other].Addr.Addr()) })
			start := time.Now()
			for _, id := range []string{"r", "q"} {
				o, err := cl.clients[other].Run(t.Context(), testJob(id, 2))
				if err != nil || o.Fault != None || len(o.Results) != 2 {
					t.Errorf("silent after %v: outcome %+v, %v", at, o, err)
				}
			}
			if took, bound := time.Since(start), pingInterval+pingTimeout+4*testCallTime; took > bound {
				t.Errorf("silent after %v: jobs took %v, bound %v", at, took, bound)
			}
			want := make([]int, 3)
			want[holder] = 2
			if diff := cmp.Diff(want, cl.callsByHost()); diff != "" {
				t.Errorf("silent after %v: calls by host (-want +got):\n%s", at, diff)
			}
		})
	}
}

// callsByHost returns the number of calls that each host formed.
func (cl *cluster) callsByHost() []int {
	var out []int
	for _, p := range cl.pools {
		out = append(out, len(p.calls))
	}
	return out
}

// TestResetConnection resets the connection to the holder while it runs a job, or
// just after it has answered, and expects the holder to form one call only.
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

// TestHolderIsBack kills and restarts the holder, and expects new jobs to go there
// as soon as it answers.
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
			t.Errorf("the holder formed %d calls after its restart, want 1", len(pool.calls))
		}
	})
}

// TestManyDead kills most hosts before the others notice, and expects the jobs of
// all live hosts to reach the same live host.
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

// TestRetiredHolder expects jobs sent to a batcher that is shutting down to run at
// the next one, and a host whose peers are all shutting down to form its own
// calls.
func TestRetiredHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.batchers[cl.holder()].Retire()
		o, err := cl.clients[cl.nonHolder()].Run(t.Context(), testJob("r", 2))
		if err != nil || o.Fault != None {
			t.Errorf("outcome %+v, %v", o, err)
		}
		for _, batcher := range cl.batchers {
			batcher.Retire()
		}
		o, err = cl.clients[cl.nonHolder()].Run(t.Context(), testJob("q", 2))
		if err != nil || o.Fault != None {
			t.Errorf("with all batchers retired: outcome %+v, %v", o, err)
		}
	})
}

// TestFreeAfterMove frees results of a holder after the service has moved to
// another one, and expects the memory to be released where it is accounted for.
func TestFreeAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		holder, other := cl.holder(), cl.nonHolder()
		o, err := cl.clients[other].Run(t.Context(), testJob("r", 2))
		if err != nil {
			t.Fatal(err)
		}
		// The client skips the holder from now on.
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

// TestMemoryOfSharedTarget frees results of a target that also has a state in the
// queues of other services: a batcher once released the memory in the wrong queue.
func TestMemoryOfSharedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		b := newBatcher(t, pool, 1, testPool())
		for range 20 {
			b.do(func() { b.queue(fmt.Sprint(len(b.queues))).targetState("t0") })
		}
		o := b.Submit(t.Context(), testJob("a", 4))
		b.Free(o.Results)
		time.Sleep(time.Second)
		b.do(func() {
			if held := b.queue("s").targetState("t0").heldBytes; held != 0 {
				t.Errorf("%d bytes are held", held)
			}
		})
	})
}
