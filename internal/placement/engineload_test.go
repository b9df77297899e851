package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSlowness expects a lasting speed to be learned, and a slow phase of two seconds to
// show at once, to pass, and to change the lasting slowness by a sixth at most.
func TestSlowness(t *testing.T) {
	const interval = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	s := newSlowness(0)
	sample := func(factor float64, n int) {
		for range n {
			now = now.Add(interval)
			s.add(math.Log(factor), now)
		}
	}
	check := func(when string, wantPresent, wantLasting, tolerance float64) {
		present, lasting := s.factor(now)
		if math.Abs(present/wantPresent-1) > tolerance || math.Abs(lasting/wantLasting-1) > tolerance {
			t.Errorf("%s: slowness %.2f, lasting %.2f, want %.2f and %.2f", when, present, lasting, wantPresent, wantLasting)
		}
	}
	sample(1.6, 100)
	check("after many samples", 1.6, 1.6, 0.05)
	sample(16, 5)
	if present, lasting := s.factor(now); present < 2.5 || lasting > 1.6*7/6 {
		t.Errorf("in the slow phase: slowness %.2f, lasting %.2f", present, lasting)
	}
	now = now.Add(5 * passingTime)
	check("after the slow phase", 1.6, 1.6, 0.17)
}

// TestBesideCost expects long outputs and large prompts to cost more beside each other than
// alike requests do, and requests that are nearly done to cost little.
func TestBesideCost(t *testing.T) {
	running := func(left float64) *engineLoad {
		l := &engineLoad{}
		for range 10 {
			r := &engineRequest{output: outputEstimate{median: left, limit: math.Inf(1)}}
			l.add(r, time.Unix(0, 0))
			r.begin()
		}
		return l
	}
	long, short, queued := running(500), running(10), &engineLoad{prefill: 20_000}
	large, small := 20_000.0, 500.0
	for _, c := range []struct {
		name         string
		more, less   float64
		atLeastTimes float64
	}{
		{"a large prompt beside long and short outputs", long.delayCost(large, 0), short.delayCost(large, 0), 5},
		{"a large and a small prompt beside long outputs", long.delayCost(large, 0), long.delayCost(small, 0), 20},
		{"a long and a short output beside a large prompt", queued.delayCost(0, exposure(500)), queued.delayCost(0, exposure(10)), 5},
	} {
		if c.more <= 0 || c.more < c.atLeastTimes*c.less {
			t.Errorf("%s: %.4f and %.4f s", c.name, c.more, c.less)
		}
	}
}

// TestEngineLoadReturnsToZero adds requests and ends them at all stages of their progress,
// some of them twice, and expects nothing to be left. What is left over would make a target
// look busy for ever.
func TestEngineLoadReturnsToZero(t *testing.T) {
	now := time.Unix(0, 0)
	l := &engineLoad{}
	var requests []*engineRequest
	for i := range 100 {
		r := &engineRequest{output: outputEstimate{median: 100, sigma: 0.5, limit: math.Inf(1)}, prefill: 1000.1, prompt: 2000.1}
		l.add(r, now)
		requests = append(requests, r)
		if i%2 == 0 {
			r.begin()
			r.begin()
			r.progress(7 * i)
		}
	}
	for _, r := range requests {
		r.end(now)
		r.end(now)
		r.progress(100)
		r.begin()
	}
	if r := l.oldestWaiting(); r != nil {
		t.Errorf("%+v still waits", r)
	}
	// Sums of fractions leave errors of rounding.
	got := fmt.Sprintf("prefill %v queued %d running %d exposure %.6f held %.3f", l.prefill, l.queued, l.running, l.exposure, l.held)
	if diff := cmp.Diff("prefill 0 queued 0 running 0 exposure 0.000000 held 0.000", got); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
}
