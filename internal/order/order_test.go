package order

import (
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/lease"
	"github.com/google/go-cmp/cmp"
)

// TestOldHolderLateOrder checks that an old holder's order can't take effect
// after the next holder's. It covers the worst case for a target that ignores
// fencing numbers: the old holder sends at the end of its lease over a slow link,
// and the next holder has its lease as early as the log's clock allows.
func TestOldHolderLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newIdleCluster(t, make([]time.Duration, 2), 2)
		defer c.close()
		target, engine := &c.targets[1], c.engines[1]
		end := time.Now().Add(10 * time.Second)
		old := &lease.Lease{Fence: 1, Since: end.Add(-lease.Term), Until: end}
		next := &lease.Lease{Fence: 2, Since: end.Add(lease.MaxSkew), Until: end.Add(time.Minute)}
		c.net.SetDelay(c.hosts[0].addr, target.Addr.Addr(), 2900*time.Millisecond)
		first, second := sender(c, 0), sender(c, 1)
		time.Sleep(time.Until(end.Add(-2950 * time.Millisecond)))
		if got := first.Send(t.Context(), old, target, contract.Order{Kind: contract.LoadModel, Model: "old"}); got != Uncertain {
			t.Errorf("the slow order has result %v, want Uncertain", got)
		}
		time.Sleep(time.Until(next.Since))
		for range 100 {
			if second.Send(t.Context(), next, target, contract.Order{Kind: contract.LoadModel, Model: "new"}) == Taken {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(MaxOrderTime)
		var got []string
		for _, o := range engine.Orders() {
			got = append(got, o.Order.Model)
		}
		if diff := cmp.Diff([]string{"old", "new"}, got); diff != "" {
			t.Errorf("orders taken (-want +got):\n%s", diff)
		}
	})
}

// TestFrozenSender freezes a holder that is about to send. When it resumes after
// the next holder's order, it must not send to either kind of target.
func TestFrozenSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newIdleCluster(t, make([]time.Duration, 2), 2)
		defer c.close()
		now := time.Now()
		old := &lease.Lease{Fence: 1, Since: now.Add(-lease.Term), Until: now.Add(time.Second)}
		next := &lease.Lease{Fence: 2, Since: now.Add(-MaxOrderTime), Until: now.Add(time.Minute)}
		c.hosts[0].clock.Suspend()
		results := make(chan Result, len(c.targets))
		for i := range c.targets {
			go func() {
				results <- sender(c, 0).Send(t.Context(), old, &c.targets[i], contract.Order{Kind: contract.LoadModel, Model: "old"})
			}()
		}
		time.Sleep(2 * time.Second)
		for i := range c.targets {
			if got := sender(c, 1).Send(t.Context(), next, &c.targets[i], contract.Order{Kind: contract.LoadModel, Model: "new"}); got != Taken {
				t.Errorf("the next holder's order has result %v, want Taken", got)
			}
		}
		c.hosts[0].clock.Resume()
		for i := range c.targets {
			if got := <-results; got != NotSent {
				t.Errorf("the old holder's order has result %v, want NotSent", got)
			}
			if got := len(c.engines[i].Orders()); got != 1 {
				t.Errorf("%s took %d orders, want 1", c.engines[i].Name, got)
			}
		}
	})
}

func sender(c *cluster, host int) *Sender {
	h := c.hosts[host]
	return &Sender{Clock: h.clock, Net: c.net.Process(h.addr)}
}

// TestLoadsAreBounded checks that a host with one lease of 64 orders only one
// model at a time, since the weight store serves all hosts.
func TestLoadsAreBounded(t *testing.T) {
	rc := &Reconciler{Leases: leaseCount(1)}
	if diff := cmp.Diff(1, rc.loadLimit()); diff != "" {
		t.Errorf("loads at one lease (-want +got):\n%s", diff)
	}
	rc.Leases = leaseCount(lease.Shards)
	if diff := cmp.Diff(DefaultMaxLoads, rc.loadLimit()); diff != "" {
		t.Errorf("loads at all leases (-want +got):\n%s", diff)
	}
}

// leaseCount is a fake Leases that holds that many leases.
type leaseCount int

func (n leaseCount) Lookup(int) *lease.Lease { return nil }
func (n leaseCount) Held() int               { return int(n) }
