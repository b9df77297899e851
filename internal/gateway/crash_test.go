package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// crashingTargets are targets that crash when they begin to answer a request whose
// prompt has the part "bad" or whose path ends in "bad", and start again downTime later.
type crashingTargets struct {
	r *fixture
	// prefill returns the time from the arrival of a request at target i to its first
	// event, or to the crash.
	prefill func(i int) time.Duration
	// eventPause is the time before each event but the first.
	eventPause time.Duration

	mu sync.Mutex
	// harmless is set once the part no longer crashes targets.
	harmless bool
	down     map[int]bool
	starts   int
	arrivals []time.Time // of bad requests
	crashes  []time.Time
}

const (
	prefillTime = 150 * time.Millisecond
	downTime    = 3 * time.Second
)

// behaviour returns the behaviour of target i: three events after its prefill.
func (c *crashingTargets) behaviour(i int) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		bad := c.arrive(r)
		w.Header().Set("Signed", "t")
		w.WriteHeader(http.StatusOK)
		if sleep(r.Context(), c.prefill(i)) != nil {
			return
		}
		if bad {
			c.crash(i)
			panic(http.ErrAbortHandler)
		}
		for event := range 3 {
			if event > 0 && sleep(r.Context(), c.eventPause) != nil {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", event+1)
			http.NewResponseController(w).Flush()
		}
	}
}

// arrive records a request and reports whether it crashes its target.
func (c *crashingTargets) arrive(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.harmless || !strings.Contains(r.Header.Get("Parts"), "bad") && !strings.HasSuffix(r.URL.Path, "/bad") {
		return false
	}
	c.arrivals = append(c.arrivals, time.Now())
	return true
}

// crash resets the connections of target i, which then refuses new ones.
func (c *crashingTargets) crash(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[i] {
		return
	}
	if c.down == nil {
		c.down = map[int]bool{}
	}
	c.down[i] = true
	c.crashes = append(c.crashes, time.Now())
	addr := targetAddr(i)
	c.r.network.Kill(addr.Addr())
	time.AfterFunc(downTime, func() {
		c.mu.Lock()
		delete(c.down, i)
		c.starts++
		offset := catalog.Offset(100 + c.starts)
		c.mu.Unlock()
		// The target registers again, as a new incarnation.
		target := &catalog.Target{ID: fmt.Sprint("t", i), Service: "s", Addr: addr, Slots: 8, Born: time.Now().UnixMilli()}
		c.r.host.Follower.ApplyTargets(catalog.TargetsUpdate{Changes: []catalog.TargetChange{{ID: target.ID, Target: target, Offset: offset}}, Next: offset + 1})
		c.r.network.Revive(addr.Addr())
		c.r.startTarget(i, c.behaviour(i))
	})
}

// lastOf returns the time of crash n, or of the last one if there were fewer.
func (c *crashingTargets) lastOf(n int) time.Time { return c.crashes[min(n, len(c.crashes))-1] }

// late returns how many bad requests reached targets later than d after crash n, if
// there were so many.
func (c *crashingTargets) late(n int, d time.Duration) int {
	if len(c.crashes) < n {
		return 0
	}
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(c.lastOf(n)) > d {
			late++
		}
	}
	return late
}

// newCrashingTargets starts a host and n targets, which serve a route of the given
// kind.
func newCrashingTargets(t *testing.T, kind catalog.Kind, n int) *crashingTargets {
	t.Helper()
	c := &crashingTargets{prefill: func(int) time.Duration { return prefillTime }}
	var behaviours []behaviour
	for i := range n {
		behaviours = append(behaviours, c.behaviour(i))
	}
	c.r = newFixture(t, route(kind, func(r *catalog.Route) { r.Resumable, r.MaxTargets = kind == catalog.Stream, 3 }), behaviours...)
	return c
}

// load sends sound requests for d and, beside them, one with each of bad every 500 ms.
// It reports which sound requests were served, by the time of sending.
func (c *crashingTargets) load(d time.Duration, bad ...string) map[time.Time]bool {
	const badEvery, soundEvery = 500 * time.Millisecond, 100 * time.Millisecond
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := map[time.Time]bool{}
	for at := time.Duration(0); at < d; at += soundEvery {
		sent := time.Now()
		id := sent.Format(time.StampMilli)
		wg.Go(func() {
			parts := []string{"a,b", "a,c", "d,e"}[at/soundEvery%3]
			ok := c.ask("sound"+id, parts+",own"+id)
			mu.Lock()
			defer mu.Unlock()
			served[sent] = ok
		})
		for _, part := range bad {
			if at%badEvery == 0 {
				wg.Go(func() { c.ask(part+id, "a,b,"+part+",own"+id) })
			}
		}
		time.Sleep(soundEvery)
	}
	wg.Wait()
	return served
}

// ask sends a request and reports whether it was answered completely.
func (c *crashingTargets) ask(id, parts string) bool {
	id = strings.ReplaceAll(id, " ", "-")
	return c.askPath("/a/"+id, id, strings.ReplaceAll(parts, " ", "-"))
}

// askPath is ask for a path that other requests may have too.
func (c *crashingTargets) askPath(path, id, parts string) bool {
	got := c.r.post(path, "Id", id, "Wait", "8000", "Parts", parts)
	return strings.HasPrefix(got, "200") && !strings.Contains(got, "cut")
}

// TestCrashingPromptPart sends requests of which some have one part in common that
// crashes targets and are otherwise all different. Few of them may reach targets once
// that part has crashed five, and sound requests with the same other parts must be
// served. Crashes once counted only against requests that are alike as a whole.
func TestCrashingPromptPart(t *testing.T) {
	const maxCrashes, maxLate, contactTime = 5, 3, 3 * time.Second
	for name, kind := range map[string]catalog.Kind{"streams": catalog.Stream, "plain answers": catalog.Safe} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingTargets(t, kind, 9)
				defer c.r.close()
				served := c.load(22*time.Second, "bad")
				if len(c.crashes) == 0 {
					t.Fatal("no target crashed")
				}
				late := c.late(maxCrashes, contactTime)
				if late > maxLate {
					t.Errorf("%d requests with the part reached targets later than %v after the fifth crash, of %d in all; %d crashes", late, contactTime, len(c.arrivals), len(c.crashes))
				}
				begun, asked := countServed(served, c.lastOf(maxCrashes).Add(2*contactTime))
				if 2*begun < asked {
					t.Errorf("%d of %d sound requests were served", begun, asked)
				}
				t.Logf("%d crashes, %d requests with the part at targets, %d late; %d of %d sound requests served", len(c.crashes), len(c.arrivals), late, begun, asked)
			})
		})
	}
}

// countServed counts the requests sent after from, and those of them that were served.
func countServed(served map[time.Time]bool, from time.Time) (begun, asked int) {
	for at, ok := range served {
		if at.After(from) {
			asked++
			if ok {
				begun++
			}
		}
	}
	return begun, asked
}

// TestTwoCrashingPromptParts has two such parts at once, in requests that share all
// other parts with sound ones.
func TestTwoCrashingPromptParts(t *testing.T) {
	const settleTime = 9 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCrashingTargets(t, catalog.Stream, 9)
		defer c.r.close()
		start := time.Now()
		served := c.load(22*time.Second, "bad1", "bad2")
		if n := len(c.arrivals); n > 0 && c.arrivals[n-1].Sub(start) > settleTime {
			t.Errorf("of %d requests with the parts the last reached a target after %v", n, c.arrivals[n-1].Sub(start))
		}
		t.Logf("%d crashes, %d requests with the parts at targets", len(c.crashes), len(c.arrivals))
		if begun, asked := countServed(served, start.Add(settleTime)); begun < asked {
			t.Errorf("%d of %d sound requests were served", begun, asked)
		}
	})
}

// TestPartThatStopsCrashing expects requests with a blocked part to be served again
// soon after it has stopped crashing targets.
func TestPartThatStopsCrashing(t *testing.T) {
	const trialTime = 35 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCrashingTargets(t, catalog.Stream, 9)
		defer c.r.close()
		c.load(5*time.Second, "bad")
		if c.ask("blocked", "a,b,bad,own") {
			t.Error("a request with the part was served while it crashed targets")
		}
		c.mu.Lock()
		c.harmless = true
		c.mu.Unlock()
		time.Sleep(trialTime)
		c.ask("trial", "a,b,bad,own1")
		if !c.ask("after the trial", "a,b,bad,own2") {
			t.Error("a request with the part was not served after it stopped crashing targets")
		}
	})
}

// TestRecallOfBlockedPart has a request with a crashing part at each of six targets,
// which crash one after the other. Once the part is blocked, the others must be
// recalled before they crash their targets too.
func TestRecallOfBlockedPart(t *testing.T) {
	const targets, enough = 6, 3
	synctest.Test(t, func(t *testing.T) {
		c := &crashingTargets{prefill: func(i int) time.Duration { return time.Duration(i+1) * 300 * time.Millisecond }}
		var behaviours []behaviour
		for i := range targets {
			behaviours = append(behaviours, c.behaviour(i))
		}
		c.r = newFixture(t, route(catalog.Stream, nil), behaviours...)
		defer c.r.close()
		var wg sync.WaitGroup
		for i := range targets {
			wg.Go(func() {
				if got := c.r.post(fmt.Sprint("/a/", i), "Id", fmt.Sprint("bad", i), "Wait", "8000", "Parts", fmt.Sprint("a,bad,own", i)); got != "502" {
					t.Errorf("request %d got %s", i, got)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if diff := cmp.Diff([]int{targets, enough}, []int{len(c.arrivals), len(c.crashes)}); diff != "" {
			t.Errorf("requests at targets, crashes (-want +got):\n%s", diff)
		}
	})
}
