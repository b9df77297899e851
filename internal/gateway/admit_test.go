package gateway

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// twoRoutes returns routes with two stages of the test pool, whose one target takes
// 80 pieces a second: "/patient/" with a long target latency and "/tight/" with a
// short one.
func twoRoutes(patient, tight time.Duration) []*catalog.Route {
	var routes []*catalog.Route
	for prefix, aim := range map[string]time.Duration{"/patient/": patient, "/tight/": tight} {
		r := route(catalog.Stream, func(r *catalog.Route) {
			r.Name, r.Prefix, r.Aim = prefix, prefix, aim
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}, {Service: "p", After: []int{0}, ResultBytes: 10}}
		})
		routes = append(routes, r...)
	}
	return routes
}

// load sends requests and records their outcomes.
type load struct {
	r  *fixture
	wg sync.WaitGroup

	mu           sync.Mutex
	took         map[string][]time.Duration // of the answered requests, by path
	refusedAfter map[string][]time.Duration // of all others, by path
}

func newLoad(r *fixture) *load {
	return &load{r: r, took: map[string][]time.Duration{}, refusedAfter: map[string][]time.Duration{}}
}

// send sends n requests whose stages have 8 pieces each.
func (l *load) send(path string, n int) {
	for range n {
		l.wg.Go(func() {
			start := time.Now()
			got := l.r.post(path, "Wait", "20000", "Pieces", "8,8")
			l.mu.Lock()
			defer l.mu.Unlock()
			outcomes := l.refusedAfter
			if strings.HasPrefix(got, "200 signed") {
				outcomes = l.took
			}
			outcomes[path] = append(outcomes[path], time.Since(start))
		})
	}
}

// TestAfterCrest replays a crest of requests with a long target latency, and after
// it bursts of requests of both routes that can all be on time if those with the
// short target latency go first. They once were put last: the waits of the crest
// stood in an average that made them look late.
func TestAfterCrest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tight = 1500 * time.Millisecond
		r := newFixture(t, twoRoutes(4*time.Second, tight), events("t", -1))
		defer r.close()
		l := newLoad(r)
		l.send("/patient/x", 24)
		time.Sleep(9 * time.Second)
		l.wg.Wait()
		clear(l.took)
		const bursts, each = 4, 4
		for range bursts {
			l.send("/patient/x", each)
			l.send("/tight/x", each)
			time.Sleep(2500 * time.Millisecond)
		}
		l.wg.Wait()
		late := 0
		for _, took := range l.took["/tight/x"] {
			if took > tight {
				late++
			}
		}
		if late > 0 || len(l.took["/tight/x"]) != bursts*each {
			t.Errorf("%d of %d requests answered, %d of them late: %v", len(l.took["/tight/x"]), bursts*each, late, l.took["/tight/x"])
		}
	})
}

// TestAdmission checks the decision at its limits.
func TestAdmission(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		a        admission
		wait     time.Duration
		admitted bool
	}{
		{"on time, however long the queue", admission{onTime: 900 * ms, late: time.Minute, aimLeft: 900 * ms, usefulLeft: 4000 * ms}, 0, true},
		{"late, short queue", admission{onTime: 1000 * ms, late: 3000 * ms, aimLeft: 900 * ms, usefulLeft: 4000 * ms}, 0, true},
		{"too late", admission{onTime: 1000 * ms, late: 3600 * ms, aimLeft: 900 * ms, usefulLeft: 9000 * ms}, 200 * ms, false},
		{"the caller leaves before", admission{onTime: 1000 * ms, late: 2500 * ms, aimLeft: 500 * ms, usefulLeft: 2000 * ms}, 500 * ms, false},
		{"past the target latency", admission{onTime: 700 * ms, late: 2600 * ms, aimLeft: -200 * ms, usefulLeft: 9000 * ms}, 300 * ms, false},
	} {
		if wait, admitted := c.a.decide(); wait != c.wait || admitted != c.admitted {
			t.Errorf("%s: wait %v, admitted %v, want %v, %v", c.name, wait, admitted, c.wait, c.admitted)
		}
	}
}

// TestUsefulUntil expects the caller's patience to count from the last event that it
// got: a long stream whose stages have to run again must not end by it.
func TestUsefulUntil(t *testing.T) {
	arrived := time.Unix(1000, 0)
	after := func(s int) time.Time { return arrived.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name      string
		patience  time.Duration
		lastEvent time.Time
		want      time.Time
	}{
		{"no patience known", 0, time.Time{}, after(30)},
		{"no event yet", 6 * time.Second, time.Time{}, after(6)},
		{"event at 20 s", 6 * time.Second, after(20), after(26)},
		{"event near the deadline", 6 * time.Second, after(28), after(30)},
	} {
		q := &request{route: &catalog.Route{Patience: c.patience}, arrived: arrived, deadline: after(30), lastEventAt: c.lastEvent}
		if got := q.usefulUntil(); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestBurst replays a burst that arrives before the estimates of the hosts show it,
// so that ten seconds of work are let in at once. Callers leave after four seconds.
// At least half of what the pool can run in that time must be served in it, and
// whoever isn't served must hear so before leaving. Once three requests were served
// in time and all others later, as each was begun.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 4 * time.Second
		routes := twoRoutes(3*time.Second, 1200*time.Millisecond)
		for _, r := range routes {
			r.Patience = patience
		}
		r := newFixture(t, routes, events("t", -1))
		defer r.close()
		l := newLoad(r)
		l.send("/patient/x", 25)
		l.send("/tight/x", 25)
		l.wg.Wait()
		served, last := 0, time.Duration(0)
		for _, path := range []string{"/patient/x", "/tight/x"} {
			served += len(l.took[path])
			last = max(last, slices.Max(append(l.refusedAfter[path], l.took[path]...)))
		}
		// The pool runs the stages of five requests a second.
		if most := int(5 * patience / time.Second); served < most/2 || last > patience {
			t.Errorf("%d requests served of %d at most, the last caller heard after %v: served after %v, others after %v", served, most, last, l.took, l.refusedAfter)
		}
	})
}
