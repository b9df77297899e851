package placement

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// newPolicyCluster returns a cluster whose hosts use the given policies as holders.
func newPolicyCluster(t *testing.T, policies ...Policy) *cluster {
	t.Helper()
	cl := newCluster(t, len(policies))
	for i, p := range policies {
		cl.clients[i].Holder.Policy = p
	}
	return cl
}

// loads returns the work at each target as the holder counts it.
func (cl *cluster) loads() map[string]string {
	h := cl.clients[cl.holder()].Holder
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]string{}
	for id, s := range h.table("s").targets {
		if len(s.requests) > 0 {
			out[id] = fmt.Sprintf("prefill %.0f queued %d running %d held %.0f", s.load.prefill, s.load.queued, s.load.running, s.load.held)
		}
	}
	return out
}

// kill ends the holder, and removes it from the members if known is set.
func (cl *cluster) kill(known bool) {
	h := cl.members.Holder("s")
	cl.network.Kill(h.Addr.Addr())
	if known {
		cl.members = cl.members.Without(h.Name)
	}
}

// others returns the clients of the hosts that are not the holder.
func (cl *cluster) others() []*Client {
	var out []*Client
	for i, c := range cl.clients {
		if i != cl.holder() {
			out = append(out, c)
		}
	}
	return out
}

// TestLostHolderUnderWork kills the holder while streams run at targets a and b. The next
// holder must spread what comes before it has heard of the streams, then count them as the
// former one did, and choose the same target. It guards against streams that the next holder
// never learns of, so that their targets look idle and get most new requests.
func TestLostHolderUnderWork(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("removed=%v", known), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newPolicyCluster(t, WorkPolicy, WorkPolicy, WorkPolicy, WorkPolicy)
				hosts := cl.others()
				for i := range 24 {
					l := hosts[i%3].Choose(t.Context(), workAt([]string{"a", "b"}[i%2], 2000+100*i, 200))
					if i < 20 {
						for range 1 + i%3 {
							l.Event()
						}
						l.Begun()
					}
				}
				time.Sleep(heartbeatInterval)
				want := cl.loads()
				cl.kill(known)
				if !known {
					// The hosts find out one by one.
					for _, c := range hosts {
						c.Holders.Skip(cl.members.Holder("s"), time.Hour)
					}
					cl.members = cl.members.Without(cl.members.Holder("s").Name)
				}
				var leases []*Lease
				got := map[string]int{}
				for i := range 9 {
					// No time passes, so that no host has reported.
					l := hosts[i%3].Choose(t.Context(), work())
					if l == nil {
						t.Fatal("no answer")
					}
					got[l.Choice.Target]++
					leases = append(leases, l)
				}
				for id, n := range got {
					if n > 5 {
						t.Errorf("%d of 9 requests go to target %s before the hosts have reported", n, id)
					}
				}
				for _, l := range leases {
					l.End(Abandoned)
				}
				time.Sleep(2 * heartbeatInterval)
				if diff := cmp.Diff(want, cl.loads()); diff != "" {
					t.Errorf("loads at the next holder (-former +next):\n%s", diff)
				}
				for range 4 {
					if l := hosts[0].Choose(t.Context(), work()); l.Choice.Target != "c" {
						t.Errorf("a request goes to %s beside the running streams, want c", l.Choice.Target)
					}
				}
			})
		})
	}
}

// TestFrozenHost freezes the connections of a host for longer than the holder keeps its
// requests. Its streams must count again once it resumes, and its late first events must not
// make their target look slow.
func TestFrozenHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newPolicyCluster(t, WorkPolicy, WorkPolicy, WorkPolicy)
		c := cl.others()[0]
		var leases []*Lease
		for range 4 {
			leases = append(leases, c.Choose(t.Context(), workAt("a", 2000, 200)))
		}
		leases[0].Event()
		leases[0].Begun()
		time.Sleep(heartbeatInterval + 10*time.Millisecond)
		want := cl.loads()
		self, _ := cl.members.Find(c.Self)
		holder := cl.members.Holder("s").Addr.Addr()
		cl.network.Partition([]netip.Addr{self.Addr.Addr()}, []netip.Addr{holder})
		time.Sleep(2 * hostTimeout)
		cl.others()[1].Choose(t.Context(), workAt("b", 100, 10)).End(Abandoned)
		time.Sleep(2 * reportDelay)
		if diff := cmp.Diff(map[string]string{}, cl.loads()); diff != "" {
			t.Errorf("loads of a silent host (-want +got):\n%s", diff)
		}
		cl.network.HealPartition([]netip.Addr{self.Addr.Addr()}, []netip.Addr{holder})
		time.Sleep(3 * heartbeatInterval)
		if diff := cmp.Diff(want, cl.loads()); diff != "" {
			t.Errorf("loads after the host has resumed (-before +after):\n%s", diff)
		}
		if l := c.Choose(t.Context(), work()); l.Choice.Target == "a" {
			t.Error("a request goes to target a beside the four that wait or run there")
		}
	})
}

// TestMixedPolicies runs requests through holders with both policies, one after the other, for
// hosts of both. Each holder must choose by its own policy, count what it chose, and nothing
// may be left once the requests have ended.
func TestMixedPolicies(t *testing.T) {
	for _, policies := range [][]Policy{{WorkPolicy, PrefillPolicy, WorkPolicy, PrefillPolicy}, {PrefillPolicy, WorkPolicy, PrefillPolicy, WorkPolicy}} {
		synctest.Test(t, func(t *testing.T) {
			cl := newPolicyCluster(t, policies...)
			for range 2 {
				policy := cl.clients[cl.holder()].Holder.Policy
				former := cl.members.Holder("s").Name
				var leases, later []*Lease
				for _, c := range cl.clients {
					if _, ok := cl.members.Find(c.Self); !ok {
						continue
					}
					for range 4 {
						l := c.Choose(t.Context(), work())
						if l == nil {
							t.Fatal("no answer")
						}
						if (l.Choice.Slowness > 0) != (policy == WorkPolicy) {
							t.Errorf("choice %+v of a holder with policy %s", l.Choice, policy)
						}
						leases = append(leases, l)
					}
				}
				time.Sleep(2 * heartbeatInterval)
				for _, l := range leases[:len(leases)/2] {
					l.Event()
					l.Begun()
				}
				// The policy of the holder changes while the requests run.
				for policy == cl.clients[cl.holder()].Holder.Policy {
					cl.kill(true)
				}
				for _, c := range cl.clients {
					if _, ok := cl.members.Find(c.Self); ok {
						later = append(later, c.Choose(t.Context(), work()))
					}
				}
				time.Sleep(2 * heartbeatInterval)
				for _, l := range leases {
					l.client.mu.Lock()
					_, alive := cl.members.Find(l.client.Self)
					if moved := l.holder.Name != former; alive && moved != (policy == WorkPolicy) {
						t.Errorf("request of %s with policy %s is reported to the next holder: %v", l.client.Self, policy, moved)
					}
					l.client.mu.Unlock()
					l.End(Answered)
				}
				for _, l := range later {
					l.End(Answered)
				}
				time.Sleep(2 * heartbeatInterval)
				if diff := cmp.Diff(map[string]string{}, cl.loads()); diff != "" {
					t.Errorf("left after all requests have ended (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// movedRequests returns the open requests of a table as hosts report them to another holder.
func (lt *LoadTable) movedRequests(work map[string]*Work, choices map[string]Choice, now time.Time) (moved []MovedRequest, open *OpenRequests) {
	open = &OpenRequests{}
	for _, id := range slices.Sorted(maps.Keys(lt.requests)) {
		r := lt.requests[id]
		moved = append(moved, MovedRequest{*work[id], choices[id], now.Sub(r.startedAt)})
		if r.hasFirstEvent {
			open.Begun, open.Events = append(open.Begun, id), append(open.Events, int(r.engine.seen/tokensPerEvent))
		} else {
			open.Waiting = append(open.Waiting, id)
		}
	}
	return moved, open
}

// TestMovedRequests moves the open requests of six targets of unequal speed, one of them busy with
// long streams, to a new load table. Its choices must be close to those of the former one: as the
// former one predicts, first events at the targets of its choice come nearly as soon. Requests
// at a former incarnation must not count. It guards against what isn't moved: the load of
// targets, their speeds and the parts of prompts that they have cached.
func TestMovedRequests(t *testing.T) {
	former, _, now := newWorkTable()
	var targets []*catalog.Target
	speeds := []float64{0.4, 1, 1.6, 0.4, 1, 1.6}
	for i := range speeds {
		targets = append(targets, &catalog.Target{ID: fmt.Sprint(i), Slots: 48, Born: 1})
	}
	request := func(i int) *Work {
		return &Work{ID: fmt.Sprint(i), Host: "h", Parts: []Part{{ID: fmt.Sprint("p", i%12), Tokens: 6000}, {ID: "own", Tokens: 500 + 100*(i%10)}}, LengthHint: 200}
	}
	works, choices := map[string]*Work{}, map[string]Choice{}
	var open []string
	for i := range 600 {
		w := request(i)
		if i%20 == 0 {
			w.LengthHint = 2000
			w.Except = []string{"0", "1", "3", "4", "5"}
		}
		c := former.Choose(w, targets, now)
		works[w.ID], choices[w.ID] = w, c
		open = append(open, w.ID)
		var target int
		fmt.Sscan(c.Target, &target)
		first := firstEventOverhead + former.requests[w.ID].engine.firstEvent/speeds[target]
		at := now.Add(seconds(first))
		former.Apply(&Report{Host: "h", News: []News{{ID: w.ID, Progress: Begun, Events: 1}}}, at)
		now = at
		if len(open) > 40 {
			former.Apply(&Report{Host: "h", News: []News{{ID: open[0], Progress: Answered, Events: 36}}}, now)
			open = open[1:]
		}
	}
	next, _, _ := newWorkTable()
	moved, list := former.movedRequests(works, choices, now)
	for i := range moved {
		for _, target := range targets {
			if target.ID == moved[i].Choice.Target {
				next.addMoved(&moved[i], target, now)
			}
		}
	}
	next.Apply(&Report{Host: "h", Open: list}, now)
	excess := func(lt *LoadTable) float64 {
		sum := 0.0
		for i := range 48 {
			w := request(i)
			got, _ := lt.cheapest(w, lt.newWorkQuery(w, now), targets, now)
			best, _ := former.cheapest(w, former.newWorkQuery(w, now), targets, now)
			q := former.newWorkQuery(w, now)
			sum += former.workCost(q, got, now)/former.workCost(q, best, now) - 1
		}
		return sum / 48
	}
	empty, _, _ := newWorkTable()
	got, without := excess(next), excess(empty)
	t.Logf("choices cost %.3f more than the former holder's, %.3f without moved requests", got, without)
	if got > 0.05 {
		t.Errorf("choices cost %.3f more than the former holder's, want at most 0.05", got)
	}
	for _, target := range targets {
		s := next.targetState(target)
		_, want := former.targetState(target).engineSlowness(now)
		_, got := s.engineSlowness(now)
		t.Logf("target %s with %d requests: slowness %.2f, %.2f at the former holder", target.ID, len(s.requests), got, want)
		if len(s.requests) >= 4 && math.Abs(math.Log(got/want)) > math.Log(1.5) {
			t.Errorf("target %s: slowness %.2f, %.2f at the former holder", target.ID, got, want)
		}
	}
	reborn, _, _ := newWorkTable()
	for i := range moved {
		reborn.addMoved(&moved[i], &catalog.Target{ID: moved[i].Choice.Target, Slots: 48, Born: 2}, now)
	}
	if len(reborn.requests) != 0 {
		t.Errorf("%d requests count at new incarnations", len(reborn.requests))
	}
}
