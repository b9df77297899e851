package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// workAt returns a request that may only go to the given target.
func workAt(target string, own, hint int) Work {
	w := Work{Service: "s", Parts: []Part{{ID: "p", Tokens: 4000}, {ID: "own", Tokens: own}}, Route: "r", Workspace: "w", LengthHint: hint}
	for _, id := range []string{"a", "b", "c"} {
		if id != target {
			w.Except = append(w.Except, id)
		}
	}
	return w
}

// newWorkTable returns a load table that chooses by work, among targets a and b.
func newWorkTable() (*LoadTable, []*catalog.Target, time.Time) {
	lt := NewLoadTable(fakeQuotas{})
	lt.work = newWorkState()
	return lt, []*catalog.Target{{ID: "a", Slots: 4, Born: 1}, {ID: "b", Slots: 4, Born: 1}}, time.Unix(1000, 0)
}

// describe returns all that a load table counts and has learned of a target.
func (lt *LoadTable) describe(t *catalog.Target, now time.Time) string {
	s := lt.targetState(t)
	present, lasting := s.engineSlowness(now)
	return fmt.Sprintf("requests %d prefill %.0f queued %d running %d exposure %.3f held %.0f recent %.4f slowness %.4f lasting %.4f failures %.2f paused %v",
		len(s.requests), s.load.prefill, s.load.queued, s.load.running, s.load.exposure, s.load.held, s.load.recentWork(now), present, lasting, s.failureRate, s.pausedUntil.After(now))
}

// TestNewIncarnation replaces a slow, failing and busy target by a new incarnation at the same
// ID. Nothing of the former one may remain, and late reports on its requests must change
// neither the new one nor what is assumed of new targets.
func TestNewIncarnation(t *testing.T) {
	lt, targets, now := newWorkTable()
	for i := range 12 {
		w := workAt("a", 3000, 100)
		w.ID, w.Host = fmt.Sprint(i), "h"
		lt.Choose(&w, targets, now)
		now = now.Add(50 * time.Millisecond)
		if i < 6 {
			lt.Apply(&Report{Host: "h", News: []News{{ID: w.ID, Progress: []Progress{Begun, Failed, Rejected}[i%3]}}}, now)
		}
	}
	fresh := &LoadTable{targets: map[string]*targetState{}, work: lt.work}
	targets[0] = &catalog.Target{ID: "a", Slots: 4, Born: 2}
	want := fresh.describe(targets[0], now)
	if diff := cmp.Diff(want, lt.describe(targets[0], now)); diff != "" {
		t.Errorf("new incarnation (-want +got):\n%s", diff)
	}
	probe := workAt("a", 1000, 100)
	lt.newWorkQuery(&probe, now)
	if n := lt.work.parts.tokens(lt.targets["a"]); n != 0 {
		t.Errorf("%d tokens are assumed to be cached at the new incarnation", n)
	}
	for range 2 {
		now = now.Add(heartbeatInterval)
		lt.Apply(&Report{Host: "h"}, now)
	}
	other, mean := lt.describe(targets[1], now), lt.work.meanSlowness
	for i, p := range []Progress{Begun, Answered, Failed, Rejected, Abandoned, Begun} {
		lt.Apply(&Report{Host: "h", News: []News{{ID: fmt.Sprint(6 + i), Progress: p, Events: 3}}}, now)
	}
	lt.Apply(&Report{Host: "h", Open: &OpenRequests{Begun: []string{"0", "11"}, Events: []int{7, 8}}}, now)
	if diff := cmp.Diff(want, lt.describe(targets[0], now)); diff != "" {
		t.Errorf("new incarnation after late reports (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(other, lt.describe(targets[1], now)); diff != "" {
		t.Errorf("other target after late reports (-want +got):\n%s", diff)
	}
	if lt.work.meanSlowness != mean {
		t.Errorf("late reports change the mean slowness from %.4f to %.4f", mean, lt.work.meanSlowness)
	}
}

// TestUnreliableReports applies the updates of 200 requests with losses, duplicates and in any
// order, and then the lists of their host, also an old one after a newer one. The list must
// leave what it names, and an empty one nothing. It guards against work that is taken off
// twice or never.
func TestUnreliableReports(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		lt, targets, now := newWorkTable()
		var news []News
		for i := range 200 {
			w := Work{ID: fmt.Sprint(i), Host: "h", Parts: []Part{{ID: fmt.Sprint(i % 7), Tokens: 500}, {ID: "own", Tokens: 100 * i}}, LengthHint: 1 + i}
			lt.Choose(&w, targets, now)
			for _, n := range []News{{ID: w.ID, Progress: Begun, Events: 1}, {ID: w.ID, Progress: Progress(1 + i%4), Events: 1 + i%9}} {
				for range rng.IntN(3) {
					news = append(news, n)
				}
			}
			now = now.Add(time.Millisecond)
		}
		rng.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
		for _, n := range news {
			if n.ID == "17" || n.ID == "18" {
				continue // still open
			}
			lt.Apply(&Report{Host: "h", News: []News{n}}, now)
		}
		now = now.Add(listDelay + time.Millisecond)
		newer := &Report{Host: "h", Open: &OpenRequests{Waiting: []string{"17"}, Begun: []string{"18"}, Events: []int{9}}}
		older := &Report{Host: "h", Open: &OpenRequests{Waiting: []string{"17", "3"}, Begun: []string{"18", "5"}, Events: []int{1, 2}}}
		lt.Apply(newer, now)
		seen := lt.requests["18"].engine.seen
		lt.Apply(older, now)
		if len(lt.requests) != 2 || lt.requests["18"].engine.seen != seen || !lt.requests["18"].engine.begun {
			t.Errorf("seed %d: %d requests, want 17 and 18, the latter with %v tokens", seed, len(lt.requests), seen)
		}
		lt.Apply(&Report{Host: "h", Open: &OpenRequests{}}, now)
		for _, target := range targets {
			s := lt.targets[target.ID]
			if got := s.load; len(s.requests) != 0 || got.prefill != 0 || got.queued != 0 || got.running != 0 || math.Abs(got.held) > 1e-3 || math.Abs(got.exposure) > 1e-6 {
				t.Errorf("seed %d: left at target %s: %s", seed, target.ID, lt.describe(target, now))
			}
		}
	}
}

// TestReportsAfterSilence sends the first events of a host's requests late, all at once, after a
// second in which the host sent nothing. They must not make the target look slow, whichever
// message ends the silence. First events of another host, and of requests sent afterwards, must.
func TestReportsAfterSilence(t *testing.T) {
	for _, first := range []string{"report", "choice"} {
		lt, targets, now := newWorkTable()
		choose := func(id, host string) {
			w := workAt("a", 1000, 100)
			w.ID, w.Host = id, host
			lt.Choose(&w, targets, now)
		}
		begun := func(id, host string) {
			lt.Apply(&Report{Host: host, News: []News{{ID: id, Progress: Begun, Events: 1}}}, now)
		}
		slowness := func() float64 {
			_, lasting := lt.targetState(targets[0]).engineSlowness(now)
			return lasting
		}
		for i := range 4 {
			choose(fmt.Sprint(i), "h")
		}
		now = now.Add(time.Second)
		before := slowness()
		if first == "choice" {
			choose("new", "h")
		}
		for i := range 4 {
			begun(fmt.Sprint(i), "h")
		}
		if got := slowness(); got != before {
			t.Errorf("after a silence that a %s ended: slowness %.3f, want %.3f as before", first, got, before)
		}
		for _, host := range []string{"h", "other"} {
			before = slowness()
			id := "later-" + host
			choose(id, host)
			for range 4 {
				now = now.Add(heartbeatInterval)
				lt.Apply(&Report{Host: host}, now)
			}
			begun(id, host)
			if got := slowness(); got <= before {
				t.Errorf("host %s, first event after 2 s: slowness %.3f, want more than %.3f", host, got, before)
			}
		}
	}
}

// formerWork is a request that a host of the former version needs a target for.
type formerWork struct {
	ID, Host, RequestID, Service string
	Parts                        []Part
	Except                       []string
	Domain                       string
}

// TestFormerHosts serves half of the requests for hosts of the former version, whose messages
// name no class, hint or events. Targets that served these must count as having done the
// predicted output, and their ends must not change what is predicted for others. It guards
// against targets that look idle, and get more requests, because their hosts count no events.
func TestFormerHosts(t *testing.T) {
	lt, targets, now := newWorkTable()
	lt.Choose(&Work{ID: "x", Host: "h", Route: "r", Workspace: "w"}, targets, now)
	lt.Apply(&Report{Host: "h", News: []News{{ID: "x", Progress: Abandoned}}}, now)
	class := workAt("a", 1000, 0)
	before := lt.work.outputs.predict(&class).median
	for i := range 20 {
		var w Work
		transcode(t, formerWork{ID: fmt.Sprint(i), Host: "former", Service: "s", Parts: []Part{{ID: "own", Tokens: 1000}}, Except: []string{"b"}}, &w)
		lt.Choose(&w, targets, now)
		now = now.Add(20 * time.Millisecond)
		for _, p := range []Progress{Begun, Answered}[i%2:] {
			var r Report
			transcode(t, formerReport{Host: "former", News: []formerNews{{w.ID, "s", p}}}, &r)
			lt.Apply(&r, now)
		}
	}
	lt.Apply(&Report{Host: "h"}, now)
	if after := lt.work.outputs.predict(&class).median; after != before {
		t.Errorf("predicted output changes from %.1f to %.1f by ends without events", before, after)
	}
	want := 0.9 * 20 * workOf(1000, initialOutput)
	if got := lt.targetState(targets[0]).load.recentWork(now); got < want {
		t.Errorf("work of the target is %.3f s after 20 requests, want at least %.3f", got, want)
	}
}

// TestWaitingAtSilentHost lets a host fall silent while its request waits for a first event. The
// target must not look slow, since the event may have come, until the host is heard of again. A
// request of a host that sends heartbeats must make it look slow all the time.
func TestWaitingAtSilentHost(t *testing.T) {
	const steps = 5 // heartbeats, all of them within hostTimeout
	for _, silent := range []bool{true, false} {
		lt, targets, now := newWorkTable()
		w := workAt("a", 1000, 100)
		w.ID, w.Host = "1", "h"
		lt.Choose(&w, targets, now)
		slowness := func() float64 {
			present, _ := lt.targetState(targets[0]).engineSlowness(now)
			return present
		}
		for range steps {
			now = now.Add(silence/steps + 100*time.Millisecond)
			lt.Apply(&Report{Host: "other"}, now)
			if !silent {
				lt.Apply(&Report{Host: "h"}, now)
			}
		}
		if got := slowness(); silent != (got == 1) {
			t.Errorf("silent=%v: slowness %.2f", silent, got)
		}
		lt.Apply(&Report{Host: "h", Open: &OpenRequests{Waiting: []string{"1"}}}, now)
		if got := slowness(); got < 5 {
			t.Errorf("silent=%v: slowness %.2f once the host names the request as waiting, want at least 5", silent, got)
		}
	}
}
