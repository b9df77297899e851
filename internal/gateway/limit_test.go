package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
)

// The stated target: limitGrace after a target named its limit, it gets in no
// limitWindow more than limitFactor times what that allows, and limitSlack more.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitCases are the ways in which a host chooses the target of a request.
var limitCases = []struct {
	name   string
	kind   catalog.Kind
	header []string
}{
	{"plain", catalog.Unsafe, nil},
	{"prompts", catalog.Stream, []string{"Parts", "a,b,c"}},
}

// limitedTarget is a target that names a limit while it is on.
type limitedTarget struct {
	limit float64

	mu      sync.Mutex
	named   time.Time // when the limit was first named
	ended   bool
	arrived []time.Time
}

// signal records an arrival and returns the limit to name.
func (l *limitedTarget) signal() backpressure.Signal {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrived = append(l.arrived, now)
	if l.ended {
		return backpressure.Signal{}
	}
	if l.named.IsZero() {
		l.named = now
	}
	return backpressure.Signal{Limited: true, Limit: l.limit}
}

// serve answers with an event or a body and names the limit.
func (l *limitedTarget) serve(w http.ResponseWriter, r *http.Request) {
	if s := l.signal(); s.Limited {
		w.Header().Set("Limit", fmt.Sprint(s.Limit))
	}
	w.Header().Set("Signed", "t")
	if sleep(r.Context(), 20*time.Millisecond) == nil {
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}
}

// end ends the limit.
func (l *limitedTarget) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

// since returns the number of arrivals from at on.
func (l *limitedTarget) since(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.arrived {
		if !a.Before(at) {
			n++
		}
	}
	return n
}

// check fails if any window has more arrivals than the target allows.
func (l *limitedTarget) check(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named.IsZero() {
		t.Error("target got no request")
	}
	allowed := int(limitFactor*l.limit*limitWindow.Seconds()) + limitSlack
	for i, from := range l.arrived {
		n := 0
		for _, at := range l.arrived[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if from.Sub(l.named) >= limitGrace && n > allowed {
			t.Errorf("target with a limit of %v a second got %d requests in the %v from %v after it named it, want at most %d", l.limit, n, limitWindow, from.Sub(l.named), allowed)
			return
		}
	}
}

// callAll sends rate requests a second to random hosts for d and waits for the
// responses. It returns how many had each status.
func (r *fixture) callAll(addrs []netip.Addr, random *rand.Rand, rate int, d time.Duration, path string, header ...string) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[string]int{}
	for i := range int(d.Seconds() * float64(rate)) {
		host := addrs[random.IntN(len(addrs))]
		wg.Go(func() {
			id := fmt.Sprint(path, time.Now().UnixNano(), "-", i)
			got := r.postTo(host, path, append([]string{"Id", id, "Wait", "1500"}, header...)...)
			mu.Lock()
			defer mu.Unlock()
			statuses[got[:min(3, len(got))]]++
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return statuses
}

// TestLimitOverAllHosts has several hosts send to targets that name a limit: the sum
// of their requests, or calls with pieces, must keep to it, and what other targets can
// serve must be served.
func TestLimitOverAllHosts(t *testing.T) {
	const hosts, rate, duration = 5, 40, 14 * time.Second
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow, slower, sound := &limitedTarget{limit: 3}, &limitedTarget{limit: 0.8}, &limitedTarget{ended: true}
				r := prepareFixture(t, route(c.kind, nil), slow.serve, slower.serve, sound.serve)
				addrs := r.startHosts(hosts)
				random := rand.New(rand.NewPCG(1, 0))
				statuses := r.callAll(addrs, random, rate, duration, "/a/b", c.header...)
				if n := int(rate * duration.Seconds()); statuses["200"] < n*99/100 {
					t.Errorf("statuses %v of %d requests", statuses, n)
				}
				slow.check(t)
				slower.check(t)
				slow.end()
				r.callAll(addrs, random, rate, 4*time.Second, "/a/b", c.header...)
				if n := slow.since(time.Now().Add(-2 * time.Second)); n < int(2*slow.limit)*2 {
					t.Errorf("%d requests in 2s after the limit had ended", n)
				}
			})
		})
	}
	t.Run("pieces", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			slow := &limitedTarget{limit: 4}
			routes := route(catalog.Stream, func(r *catalog.Route) { r.Stages = []catalog.Stage{{Service: "p"}} })
			r := prepareFixture(t, routes, respondsWith("id: 1\ndata: x\n\n"))
			r.pool.signal = func(*catalog.Target) backpressure.Signal { return slow.signal() }
			addrs := r.startHosts(hosts)
			r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), rate, duration, "/a/b", "Pieces", "2")
			calls := &limitedTarget{limit: slow.limit, named: slow.named, arrived: r.pool.arrivals()}
			calls.check(t)
			slow.end()
			r.callAll(addrs, rand.New(rand.NewPCG(2, 0)), rate, 6*time.Second, "/a/b", "Pieces", "2")
			calls.arrived = r.pool.arrivals()
			if n := calls.since(time.Now().Add(-2 * time.Second)); n < int(2*slow.limit)*3/2 {
				t.Errorf("%d calls in 2s after the limit had ended", n)
			}
		})
	})
}

// limitFaults harms the hosts of a fixture, one fault after another.
type limitFaults struct {
	*fixture
	random *rand.Rand
}

// inject harms some hosts, for d where a fault lasts, and returns what it did.
func (f *limitFaults) inject(d time.Duration) string {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(6) {
	case 0:
		f.network.Kill(h.addr)
		f.stopHost(h)
		f.startHost(h)
		return fmt.Sprintf("%v killed and started", h.addr)
	case 1:
		f.stopHost(h)
		f.startHost(h)
		return fmt.Sprintf("%v stopped and started", h.addr)
	case 2:
		var others []netip.Addr
		for _, other := range f.hosts {
			if other != h {
				others = append(others, other.addr)
			}
		}
		f.network.Partition([]netip.Addr{h.addr}, others)
		time.Sleep(d)
		f.network.HealPartition([]netip.Addr{h.addr}, others)
		return fmt.Sprintf("%v alone for %v", h.addr, d)
	case 3:
		for _, other := range f.hosts {
			f.network.Silence(h.addr, other.addr)
		}
		return fmt.Sprintf("connections of %v silent", h.addr)
	case 4:
		joined := &runningHost{addr: netip.AddrFrom4([4]byte{10, 0, 2, byte(len(f.hosts))})}
		f.hosts = append(f.hosts, joined)
		f.startHost(joined)
		f.t.Cleanup(func() { f.stopHost(joined) })
		return fmt.Sprintf("%v started", joined.addr)
	default:
		sides := [2][]netip.Addr{}
		for i, other := range f.hosts {
			sides[i%2] = append(sides[i%2], other.addr)
		}
		f.network.Partition(sides[0], sides[1])
		time.Sleep(d)
		f.network.HealPartition(sides[0], sides[1])
		return fmt.Sprintf("%v and %v apart for %v", sides[0], sides[1], d)
	}
}

var limitSeeds = flag.Uint("limitseeds", 3, "seeds of TestLimitWhileHostsFail")

// TestLimitWhileHostsFail has hosts killed, stopped, started and cut off from each
// other while all targets of a service name limits, one after the other.
func TestLimitWhileHostsFail(t *testing.T) {
	const hosts, rate, duration = 6, 40, 30 * time.Second
	for seed := range uint64(*limitSeeds) {
		for _, c := range limitCases {
			t.Run(fmt.Sprint(c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					targets := []*limitedTarget{{limit: 2}, {limit: 6}, {limit: 0.5}}
					r := prepareFixture(t, route(c.kind, nil), targets[0].serve, targets[1].serve, targets[2].serve)
					addrs := r.startHosts(hosts)
					f := &limitFaults{r, random}
					var done []string
					end := time.Now().Add(duration)
					faults := make(chan struct{})
					go func() {
						defer close(faults)
						for time.Now().Before(end) {
							time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
							at := time.Since(end) + duration
							done = append(done, fmt.Sprint(at, " ", f.inject(time.Duration(1+random.IntN(6))*time.Second)))
						}
					}()
					statuses := r.callAll(addrs, rand.New(rand.NewPCG(seed, 1)), rate, duration, "/a/b", c.header...)
					<-faults
					for _, target := range targets {
						target.check(t)
					}
					if t.Failed() {
						t.Log(statuses, done)
					}
					// Half of the limits, since hosts that were cut off keep their shares.
					if least := int(duration.Seconds() * 8.5 / 2); statuses["200"] < least {
						t.Errorf("statuses %v, want at least %d served; faults %v", statuses, least, done)
					}
				})
			})
		}
	}
}

// TestLeavingTarget has targets say in their responses that they leave, while their
// entries in the catalog don't: they must get no request later than drainTime after
// that from any host, whole or with a prompt.
func TestLeavingTarget(t *testing.T) {
	const drainTime = 2 * time.Second
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaving, sound := &limitedTarget{ended: true}, &limitedTarget{ended: true}
				var left time.Time
				r := prepareFixture(t, route(c.kind, nil), func(w http.ResponseWriter, r *http.Request) {
					if time.Now().After(left) {
						w.Header().Set("Leaving", "1")
					}
					leaving.serve(w, r)
				}, sound.serve)
				addrs := r.startHosts(5)
				random := rand.New(rand.NewPCG(1, 0))
				left = time.Now().Add(2 * time.Second)
				statuses := r.callAll(addrs, random, 40, 8*time.Second, "/a/b", c.header...)
				if statuses["200"] != 320 {
					t.Errorf("statuses %v", statuses)
				}
				if n := leaving.since(left.Add(drainTime)); n > 0 {
					t.Errorf("%d requests reached the target later than %v after it began to leave", n, drainTime)
				}
				if n := leaving.since(time.Time{}); n == 0 {
					t.Error("the target got no request before")
				}
			})
		})
	}
}

// TestPausedTarget has a target reject all requests for a while and ask each host for a
// pause of several seconds: half a second after that, it must get at most two requests
// from the host within the pause. With no other target callers are told when to come
// back.
func TestPausedTarget(t *testing.T) {
	const pause, grace, most = 4 * time.Second, 500 * time.Millisecond, 2
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var rejected, late int
				var firstRejected time.Time
				r := prepareFixture(t, route(c.kind, nil), func(w http.ResponseWriter, _ *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					rejected++
					if firstRejected.IsZero() {
						firstRejected = time.Now()
					}
					if at := time.Since(firstRejected); at > grace && at < pause {
						late++
					}
					w.Header().Set("Pause", (pause - time.Since(firstRejected)).String())
					rejects(w, nil)
				})
				addrs := r.startHosts(1)
				statuses := r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), 40, pause, "/a/b", c.header...)
				if rejected == 0 || late > most {
					t.Errorf("%d requests, %d of them within the pause, want at most %d", rejected, late, most)
				}
				if statuses["503"] != 160 {
					t.Errorf("statuses %v", statuses)
				}
			})
		})
	}
}

// TestPauseWhileRequestsWait has a target with a limit ask for a pause while requests
// wait for their turns there: half a second later at most two may still come within the
// pause. Turns were used though the target had asked for a pause meanwhile.
func TestPauseWhileRequestsWait(t *testing.T) {
	const limit, from, pause, grace, most = 5, 2 * time.Second, 4 * time.Second, 500 * time.Millisecond, 2
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var start, paused time.Time
				late := 0
				r := prepareFixture(t, route(c.kind, nil), func(w http.ResponseWriter, _ *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					w.Header().Set("Limit", fmt.Sprint(limit))
					w.Header().Set("Signed", "t")
					if time.Since(start) < from {
						fmt.Fprint(w, "id: 1\ndata: x\n\n")
						return
					}
					if paused.IsZero() {
						paused = time.Now()
					}
					if at := time.Since(paused); at > grace && at < pause {
						late++
					}
					w.Header().Set("Pause", (pause - time.Since(paused)).String())
					rejects(w, nil)
				})
				addrs := r.startHosts(1)
				start = time.Now()
				header := append([]string{"Wait", "8000"}, c.header...)
				r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), 20, from+pause, "/a/b", header...)
				if paused.IsZero() || late > most {
					t.Errorf("%d requests within the pause, want at most %d", late, most)
				}
			})
		})
	}
}

// TestSheddingTarget has one of two targets turn away nine of ten requests: sends must
// go where they are taken, and no request may fail for want of repeats.
func TestSheddingTarget(t *testing.T) {
	const rate, duration = 40, 8 * time.Second
	const repeatRatio = 0.2 // that of the fixture's budget
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := &limitedTarget{ended: true}
				var mu sync.Mutex
				asked, rejected := 0, 0
				r := prepareFixture(t, route(c.kind, nil), func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					asked++
					shed := asked%10 != 0
					if shed {
						rejected++
					}
					mu.Unlock()
					if shed {
						rejects(w, r)
						return
					}
					sound.serve(w, r)
				}, sound.serve)
				addrs := r.startHosts(3)
				statuses := r.callAll(addrs, rand.New(rand.NewPCG(1, 0)), rate, duration, "/a/b", c.header...)
				n := int(rate * duration.Seconds())
				if statuses["200"] != n || float64(rejected) > repeatRatio*float64(n) {
					t.Errorf("%d of %d requests were rejected once or more, statuses %v", rejected, n, statuses)
				}
			})
		})
	}
}
