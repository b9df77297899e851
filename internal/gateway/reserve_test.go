package gateway

import (
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/stage"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// newChainPlan returns a plan of three stages in a row with 1, 8 and 16 pieces.
func newChainPlan(left time.Duration) *plan {
	table := &catalog.Table{Version: 1, Services: map[string]*catalog.Service{}}
	for name, pool := range peakPools {
		table.Services[name] = &catalog.Service{Name: name, Pool: pool}
	}
	f := &catalog.Follower{Clock: &clock.Service{}, Log: zap.NewNop()}
	f.ApplyTable(table, catalog.Source{Name: "test"})
	route := &catalog.Route{Stages: []catalog.Stage{{Service: "a"}, {Service: "b", After: []int{0}}, {Service: "c", After: []int{1}}}}
	h := &Host{Follower: f, Clock: &clock.Service{}, Stages: &stage.Client{Clock: &clock.Service{}}}
	q := &request{route: route, deadline: time.Now().Add(left), RequestInfo: RequestInfo{Pieces: []int{1, 8, 16}}}
	return &plan{h: h, q: q, order: []int{0, 1, 2}, readers: []int{1, 1, 0}}
}

// TestStageWindows expects the windows of stages in a row to leave each stage its call and a
// wait, and together all of the time. A first stage without a bound of its own once used up
// the time of the others.
func TestStageWindows(t *testing.T) {
	p := newChainPlan(10 * time.Second)
	for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second} {
		before := time.Duration(0)
		for i := range 3 {
			start, end := p.stageWindow(i, limit)
			if start > before || end < before+p.callTime(i)+100*time.Millisecond {
				t.Errorf("limit %v: stage %d from %v to %v, the one before ends at %v", limit, i, start, end, before)
			}
			before = end
		}
		if rounding := limit - engineTime - before; rounding < 0 || rounding > time.Microsecond {
			t.Errorf("limit %v: last stage ends at %v, the first event takes %v after it", limit, before, engineTime)
		}
	}
	if _, end := p.stageWindow(0, 500*time.Millisecond); end != p.callTime(0) {
		t.Errorf("without time to wait the first stage ends at %v, want its call time %v", end, p.callTime(0))
	}
}

// TestWaitShare checks the division of the time to wait: each stage gets the least that it
// needs first, and the rest goes where waits are expected.
func TestWaitShare(t *testing.T) {
	const ms = time.Millisecond
	idle, busy := waits{least: 200 * ms, expected: 200 * ms}, waits{least: 200 * ms, expected: 1200 * ms}
	for _, c := range []struct {
		slack      time.Duration
		w, others  waits
		want, rest time.Duration
	}{
		{1000 * ms, idle, busy, 200 * ms, 800 * ms},
		{1000 * ms, idle, idle, 500 * ms, 500 * ms},
		{300 * ms, idle, busy, 150 * ms, 150 * ms},
		{-100 * ms, idle, busy, 0, 0},
		{1000 * ms, waits{}, waits{}, 0, 0},
	} {
		got := []time.Duration{c.w.share(c.slack, c.others), c.others.share(c.slack, c.w)}
		if diff := cmp.Diff([]time.Duration{c.want, c.rest}, got); diff != "" {
			t.Errorf("%v among %v and %v (-want +got):\n%s", c.slack, c.w, c.others, diff)
		}
	}
}

// TestSpreadRetry expects refused callers to come back between the wait and a quarter of
// the time left, and not all at once.
func TestSpreadRetry(t *testing.T) {
	const left = 8 * time.Second
	for _, c := range []struct{ wait, spread, from, to time.Duration }{
		{0, 0, minRetryAfter, 2 * minRetryAfter},
		{time.Second, 400 * time.Millisecond, time.Second, 2 * time.Second},
		{50 * time.Millisecond, time.Minute, left / retryAfterDivisor / 2, left / retryAfterDivisor},
		{time.Minute, 0, left / retryAfterDivisor / 2, left / retryAfterDivisor},
	} {
		p := newChainPlan(left)
		least, most := left, time.Duration(0)
		for range 200 {
			got := p.spreadRetry(c.wait, c.spread)
			least, most = min(least, got), max(most, got)
		}
		if least < c.from-50*time.Millisecond || most > c.to+250*time.Millisecond || most-least < (c.to-c.from)/2 {
			t.Errorf("wait %v, spread %v: %v to %v, want about %v to %v", c.wait, c.spread, least, most, c.from, c.to)
		}
	}
	if got := newChainPlan(-time.Second).spreadRetry(0, 0); got != 0 {
		t.Errorf("after the deadline: %v", got)
	}
}

// TestUnrefused expects what may be reserved to be given back when another reservation of
// the request was refused, also where the reply was lost, and nothing else.
func TestUnrefused(t *testing.T) {
	wanted := []stage.Reservation{{ID: "granted", Service: "a"}, {ID: "refused", Service: "b"}, {ID: "lost", Service: "c"}, {ID: "former", Service: "d"}}
	verdicts := []stage.Verdict{{Replied: true, Answer: stage.Answer{Granted: true}}, {Replied: true}, {}, {Former: true}}
	var got []string
	for _, r := range unrefused(wanted, verdicts) {
		got = append(got, r.ID)
	}
	if diff := cmp.Diff([]string{"granted", "lost"}, got); diff != "" {
		t.Errorf("given back (-want +got):\n%s", diff)
	}
}
