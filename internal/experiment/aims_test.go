//go:build !race

package experiment

import (
	"strings"
	"testing"
	"time"
)

// The objectives, as ratios of figures from the same test.
const (
	minOnTimeShare     = 0.98 // answers on time during the peak to those of the bound; also the least share of long work on time
	maxP99OverBound    = 1.1  // p99 of short work beside long work to that of the bound
	maxP99OverNoLong   = 1.3  // p99 of short work beside long work to that without long work
	maxP99OverUnslowed = 1.25 // p99 of short work with slowed targets to that without them
	maxExtraCost       = 0.05 // cost of retries and hedges to that of all other attempts
)

// smallSite returns a site with half of the slots, whose loads run in seconds.
func smallSite() *Site {
	s := SharedTable()
	for i := range s.Targets {
		s.Targets[i].Slots /= 2
	}
	s.Skew()
	return s
}

func smallLoad(peak float64) *Load {
	return &Load{Name: "small", Seed: 1, BaseRate: peak / 3, PeakRate: peak, MeasureFrom: 8 * time.Second,
		PeakFrom: 10 * time.Second, PeakTo: 15 * time.Second, End: 17 * time.Second, Skew: true}
}

// TestCrestAim compares the answers on time during the peak with those of the
// bound, at 1.35 and 2 times the capacity.
func TestCrestAim(t *testing.T) {
	for _, peak := range []float64{1.35, 2} {
		s, l := smallSite(), smallLoad(peak)
		requests := l.Requests(s)
		b, r := BestBound(s, l, requests), runPolicy(t, s, l, "SharedQueue", requests)
		t.Logf("peak %.2f: on time %d, bound %d of %d", peak, r.PeakOnTime, b.PeakOnTime, b.PeakRequests)
		if float64(r.PeakOnTime) < minOnTimeShare*float64(b.PeakOnTime) {
			t.Errorf("peak %.2f: %d answers on time, the bound has %d", peak, r.PeakOnTime, b.PeakOnTime)
		}
		if r.ExtraCost > maxExtraCost {
			t.Errorf("peak %.2f: extra cost %.3f", peak, r.ExtraCost)
		}
		if r.LongOnTimeShare < minOnTimeShare {
			t.Errorf("peak %.2f: %.3f of the long work on time", peak, r.LongOnTimeShare)
		}
	}
}

// TestShortBehindLongAim compares the tail latency of short work below capacity
// with that of the bound and with that of the same load without long work.
func TestShortBehindLongAim(t *testing.T) {
	s, l := smallSite(), smallLoad(0.85)
	requests := l.Requests(s)
	b, with := BestBound(s, l, requests), runPolicy(t, s, l, "SharedQueue", requests)
	l.NoLong = true
	without := runPolicy(t, s, l, "SharedQueue", l.Requests(s))
	t.Logf("p99 %v, bound %v, without long work %v", with.ShortP99, b.ShortP99, without.ShortP99)
	if float64(with.ShortP99) > maxP99OverBound*float64(b.ShortP99) {
		t.Errorf("p99 of short work %v, the bound has %v", with.ShortP99, b.ShortP99)
	}
	if float64(with.ShortP99) > maxP99OverNoLong*float64(without.ShortP99) {
		t.Errorf("p99 of short work %v, without long work %v", with.ShortP99, without.ShortP99)
	}
}

// TestSlowedAim compares the tail latency of short work while two of twelve
// engines are slowed tenfold with that at full speed.
func TestSlowedAim(t *testing.T) {
	s, l := smallSite(), smallLoad(0.6)
	l.PeakTo, l.End = 29*time.Second, 31*time.Second
	requests := l.Requests(s)
	without := runPolicy(t, s, l, "SharedQueue", requests)
	l.Slowdowns = []Slowdown{
		{Target: "engine-04", Factor: 10, From: 11 * time.Second, To: 31 * time.Second},
		{Target: "engine-10", Factor: 10, From: 11 * time.Second, To: 31 * time.Second},
	}
	with := runPolicy(t, s, l, "SharedQueue", requests)
	t.Logf("p99 %v, without slowed targets %v", with.ShortP99, without.ShortP99)
	if float64(with.ShortP99) > maxP99OverUnslowed*float64(without.ShortP99) {
		t.Errorf("p99 of short work %v with slowed targets, %v without", with.ShortP99, without.ShortP99)
	}
	if with.ExtraCost > maxExtraCost {
		var costs strings.Builder
		CostTable(&costs, with)
		t.Errorf("extra cost %.3f:\n%s", with.ExtraCost, &costs)
	}
}
