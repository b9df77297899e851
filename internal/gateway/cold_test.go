package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
)

// The second customer's bound on the requests of all hosts together to a cold target in
// any second: coldFactor times coldRate, plus coldSlack. Services have no cold rate
// unless a test sets it.
const (
	coldFactor = 1.5
	coldSlack  = 5
	coldRate   = 12
	coldTime   = 3 * time.Second
	coldMost   = coldFactor*coldRate + coldSlack
	// coldReadDelay bounds the time until all hosts have read an entry, and what they
	// sent before has arrived.
	coldReadDelay = 400 * time.Millisecond
)

// coldTarget records what reaches a target, and when it is cold.
type coldTarget struct {
	entry catalog.Target

	mu      sync.Mutex
	arrived []time.Time
	// cold holds the times between which all hosts must know that the target is cold.
	cold [][2]time.Time
}

// serve answers with an event or a body.
func (c *coldTarget) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.arrived = append(c.arrived, time.Now())
	c.mu.Unlock()
	w.Header().Set("Signed", "t")
	if sleep(r.Context(), 20*time.Millisecond) == nil {
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}
}

// prepareCold prepares a fixture whose service s has a cold rate, with one target for
// each of targets.
func prepareCold(t *testing.T, kind catalog.Kind, targets ...*coldTarget) *fixture {
	t.Helper()
	var serve []behaviour
	for _, c := range targets {
		serve = append(serve, c.serve)
	}
	r := prepareFixture(t, route(kind, nil), serve...)
	s := r.feed.table.Services["s"]
	s.ColdTime, s.ColdRate = coldTime, coldRate
	for i, c := range targets {
		r.feed.targets[i].Target.Cold.Known = true
		r.feed.targets[i].Target.Born = 1
		c.entry = *r.feed.targets[i].Target
	}
	return r
}

// write writes a new entry of c, by which it is cold for d.
func (c *coldTarget) write(r *fixture, d time.Duration) {
	c.entry.Sequence++
	c.entry.Cold = catalog.Cold{Known: true, Left: d}
	c.mu.Lock()
	now := time.Now()
	if n := len(c.cold); n > 0 && c.cold[n-1][1].After(now) {
		c.cold[n-1][1] = now
	}
	c.cold = append(c.cold, [2]time.Time{now.Add(coldReadDelay), now.Add(d)})
	c.mu.Unlock()
	entry := c.entry
	r.feed.write(catalog.TargetChange{ID: entry.ID, Target: &entry})
}

// between returns the number of arrivals from one time until before another.
func (c *coldTarget) between(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.arrived {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// check fails if the target got more in a second in which it was cold than it
// tolerates.
func (c *coldTarget) check(t *testing.T) {
	t.Helper()
	for _, cold := range c.cold {
		for _, from := range c.arrived {
			if from.Before(cold[0]) || from.Add(time.Second).After(cold[1]) {
				continue
			}
			if n := c.between(from, from.Add(time.Second)); n > coldMost {
				t.Errorf("target %s got %d requests in the second from %v after its cold time was known, want at most %v", c.entry.ID, n, from.Sub(cold[0]), coldMost)
				return
			}
		}
	}
}

// TestColdTarget has a target become cold under load, and another one register: they
// must get no more than they tolerate, but what their rate allows, and all requests
// must be served, since the other targets are warm.
func TestColdTarget(t *testing.T) {
	const hosts, rate, cold = 5, 80, 8 * time.Second
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				again, warm, fresh := &coldTarget{}, &coldTarget{}, &coldTarget{}
				r := prepareCold(t, c.kind, again, warm, fresh)
				// The entry of the third target comes later.
				fresh.entry.Cold = catalog.Cold{}
				registered := fresh.entry
				r.feed.targets = append(r.feed.targets[:2:2], r.feed.targets[3:]...)
				addrs := r.startHosts(hosts)
				random := rand.New(rand.NewPCG(1, 0))
				time.AfterFunc(2*time.Second, func() { again.write(r, cold) })
				const after = 3 * time.Second
				from := time.Now().Add(after)
				fresh.cold = [][2]time.Time{{from, from.Add(coldTime)}}
				time.AfterFunc(after, func() {
					r.feed.write(catalog.TargetChange{ID: registered.ID, Target: &registered})
				})
				statuses := r.callAll(addrs, random, rate, 12*time.Second, "/a/b", c.header...)
				if n := rate * 12; statuses["200"] < n*99/100 {
					t.Errorf("statuses %v of %d requests", statuses, n)
				}
				again.check(t)
				fresh.check(t)
				if n := again.between(from, from.Add(4*time.Second)); n < 4*coldRate/2 {
					t.Errorf("the target that is cold again got %d requests in 4s", n)
				}
				if n := fresh.between(from.Add(coldTime/2), from.Add(coldTime)); n < int(coldRate*coldTime.Seconds()/2)/2 {
					t.Errorf("the new target got %d requests in the second half of its cold time", n)
				}
				if n := fresh.between(from.Add(coldTime), from.Add(3*coldTime)); n < int(2*coldTime.Seconds())*coldRate/3 {
					t.Errorf("the new target got %d requests in the %v after its cold time", n, 2*coldTime)
				}
			})
		})
	}
	t.Run("pieces", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			routes := route(catalog.Stream, func(r *catalog.Route) { r.Stages = []catalog.Stage{{Service: "p"}} })
			r := prepareFixture(t, routes, respondsWith("id: 1\ndata: x\n\n"))
			r.feed.table.Services["p"].ColdRate = coldRate
			// Free slots, so that nothing but the cold rate limits the calls.
			r.feed.table.Services["p"].Pool.Slots = 16
			addrs := r.startHosts(hosts)
			pool := &coldTarget{entry: *r.feed.targets[len(r.feed.targets)-1].Target}
			pool.write(r, time.Minute)
			r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), rate, 6*time.Second, "/a/b", "Pieces", "2")
			pool.arrived = r.pool.arrivals()
			pool.check(t)
			if n := pool.between(time.Now().Add(-4*time.Second), time.Now()); n < 4*coldRate/2 {
				t.Errorf("%d calls in 4s", n)
			}
		})
	})
}

// TestOnlyColdTargets has all targets of a service become cold. What their rates don't
// allow must be refused, and at once rather than after a wait.
func TestOnlyColdTargets(t *testing.T) {
	const hosts, rate, cold, longest = 5, 120, 8 * time.Second, 700 * time.Millisecond
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := []*coldTarget{{}, {}, {}}
				r := prepareCold(t, c.kind, targets...)
				addrs := r.startHosts(hosts)
				for _, target := range targets {
					target.write(r, cold)
				}
				time.Sleep(time.Second)
				var wg sync.WaitGroup
				var mu sync.Mutex
				statuses := map[string]int{}
				for i := range rate * 6 {
					wg.Go(func() {
						start := time.Now()
						got := r.postTo(addrs[i%hosts], "/a/b", append([]string{"Id", fmt.Sprint(i), "Wait", "8000"}, c.header...)...)[:3]
						mu.Lock()
						defer mu.Unlock()
						statuses[got]++
						if took := time.Since(start); took > longest {
							t.Errorf("a request ended with %s after %v", got, took)
						}
					})
					time.Sleep(time.Second / rate)
				}
				wg.Wait()
				for _, target := range targets {
					target.check(t)
				}
				if least := len(targets) * coldRate * 6 * 3 / 4; statuses["200"] < least || statuses["200"]+statuses["503"] != rate*6 {
					t.Errorf("statuses %v, want at least %d served and the others refused", statuses, least)
				}
			})
		})
	}
}

// TestDomainPutBack guards against a burst at the targets of a failure domain that is put
// back into service: they count as cold, though their entries say that they are warm.
func TestDomainPutBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back, other := &coldTarget{}, &coldTarget{}
		r := prepareCold(t, catalog.Unsafe, back, other)
		r.feed.targets[0].Target.Domain = "d"
		r.start()
		defer r.close()
		r.evacuate("d")
		now := time.Now()
		r.feed.evacuate("d", false)
		back.cold = [][2]time.Time{{now, now.Add(coldTime)}}
		statuses := r.callAll([]netip.Addr{hostAddr}, rand.New(rand.NewPCG(1, 0)), 100, 6*time.Second, "/a/b")
		back.check(t)
		if statuses["200"] != 600 {
			t.Errorf("statuses %v", statuses)
		}
		if n := back.between(now.Add(coldTime), now.Add(2*coldTime)); n < 100 {
			t.Errorf("the target got %d requests after its cold time", n)
		}
	})
}

// TestColdTargetsAfterHolderIsLost has the holder of the limits killed while all targets
// are cold. They get nothing until its leases have ended and the next holder's count, and
// then as much as before.
func TestColdTargetsAfterHolderIsLost(t *testing.T) {
	const hosts, rate, cold, longest = 5, 60, time.Minute, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		target := &coldTarget{}
		r := prepareCold(t, catalog.Unsafe, target)
		addrs := r.startHosts(hosts)
		target.write(r, cold)
		holder := r.holderOf("s")
		addrs = slices.DeleteFunc(addrs, func(a netip.Addr) bool { return a == holder.addr })
		lost := time.Now().Add(4 * time.Second)
		time.AfterFunc(time.Until(lost), func() {
			r.network.Kill(holder.addr)
			r.stopHost(holder)
		})
		r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), rate, 14*time.Second, "/a/b")
		r.startHost(holder) // for the end of the fixture
		target.check(t)
		before, gap := time.Time{}, time.Duration(0)
		for _, at := range target.arrived {
			if at.After(lost) {
				gap = max(gap, at.Sub(before))
			}
			before = at
		}
		t.Logf("nothing for %v", gap)
		if n := target.between(lost.Add(longest), lost.Add(longest+4*time.Second)); gap > longest || n < 4*coldRate/2 {
			t.Errorf("no request for %v, %d in 4s after that", gap, n)
		}
	})
}

// holderOf returns the host that holds a service.
func (r *fixture) holderOf(service string) *runningHost {
	var members []peer.Host
	for _, h := range r.hosts {
		members = append(members, hostAt(netip.AddrPortFrom(h.addr, 82)))
	}
	name := peer.NewMembers(members).Holder(service).Name
	i := slices.IndexFunc(r.hosts, func(h *runningHost) bool { return netip.AddrPortFrom(h.addr, 82).String() == name })
	return r.hosts[i]
}

var coldSeeds = flag.Uint("coldseeds", 2, "seeds of TestColdTargetsWhileHostsFail")

// TestColdTargetsWhileHostsFail has hosts killed, stopped, started and cut off from each
// other while targets become cold and warm.
func TestColdTargetsWhileHostsFail(t *testing.T) {
	const hosts, rate, duration = 6, 60, 20 * time.Second
	for seed := range uint64(*coldSeeds) {
		for _, c := range limitCases {
			t.Run(fmt.Sprint(c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					targets := []*coldTarget{{}, {}, {}}
					r := prepareCold(t, c.kind, targets...)
					addrs := r.startHosts(hosts)
					f := &limitFaults{r, random}
					var done []string
					end := time.Now().Add(duration)
					var wg sync.WaitGroup
					wg.Go(func() {
						for time.Now().Before(end) {
							time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
							at := time.Since(end) + duration
							done = append(done, fmt.Sprint(at, " ", f.inject(time.Duration(1+random.IntN(6))*time.Second)))
						}
					})
					wg.Go(func() {
						random := rand.New(rand.NewPCG(seed, 2))
						for time.Now().Before(end) {
							time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
							targets[random.IntN(len(targets))].write(r, time.Duration(random.IntN(8000))*time.Millisecond)
						}
					})
					statuses := r.callAll(addrs, rand.New(rand.NewPCG(seed, 1)), rate, duration, "/a/b", c.header...)
					wg.Wait()
					for _, target := range targets {
						target.check(t)
					}
					if t.Failed() {
						t.Log(statuses, done)
					}
					if least := int(duration.Seconds()) * coldRate; statuses["200"] < least {
						t.Errorf("statuses %v, want at least %d served; faults %v", statuses, least, done)
					}
				})
			})
		}
	}
}
