//go:build !race

package experiment

import (
	"strings"
	"testing"
	"time"
)

// The aims, as ratios within one run.
const (
	crestAim  = 0.98 // answers on time at the crest, of the bound's
	boundAim  = 1.1  // p99 of short work behind long, of the bound's
	longAim   = 1.3  // the same, of that without long work
	slowedAim = 1.25 // p99 of short work with slowed targets, of that without
	extraAim  = 0.05 // cost of retries and hedges, of the rest
)

// small is a site with half of the slots, whose loads run in seconds.
func small() *Site {
	s := SharedTable()
	for i := range s.Targets {
		s.Targets[i].Slots /= 2
	}
	s.Skew()
	return s
}

func smallLoad(crest float64) *Load {
	return &Load{Name: "small", Seed: 1, Base: crest / 3, Crest: crest, MeasureFrom: 8 * time.Second,
		CrestFrom: 10 * time.Second, CrestTo: 15 * time.Second, End: 17 * time.Second, Skew: true}
}

// TestCrestAim holds answers on time at the crest against the bound, at 1.35
// and 2 times the capacity.
func TestCrestAim(t *testing.T) {
	for _, crest := range []float64{1.35, 2} {
		s, l := small(), smallLoad(crest)
		requests := l.Requests(s)
		b, r := BestBound(s, l, requests), play(t, s, l, "SharedQueue", requests)
		t.Logf("crest %.2f: on time %d, bound %d of %d", crest, r.CrestOnTime, b.CrestOnTime, b.CrestRequests)
		if float64(r.CrestOnTime) < crestAim*float64(b.CrestOnTime) {
			t.Errorf("crest %.2f: %d answers on time, the bound has %d", crest, r.CrestOnTime, b.CrestOnTime)
		}
		if r.Extra > extraAim {
			t.Errorf("crest %.2f: extra cost %.3f", crest, r.Extra)
		}
		if r.LongOnTime < crestAim {
			t.Errorf("crest %.2f: %.3f of the long work on time", crest, r.LongOnTime)
		}
	}
}

// TestShortBehindLongAim holds the tail of short work against the bound and
// against that without long work, below capacity.
func TestShortBehindLongAim(t *testing.T) {
	s, l := small(), smallLoad(0.85)
	requests := l.Requests(s)
	b, with := BestBound(s, l, requests), play(t, s, l, "SharedQueue", requests)
	l.NoLong = true
	without := play(t, s, l, "SharedQueue", l.Requests(s))
	t.Logf("p99 %v, bound %v, without long work %v", with.ShortP99, b.ShortP99, without.ShortP99)
	if float64(with.ShortP99) > boundAim*float64(b.ShortP99) {
		t.Errorf("p99 of short work %v, the bound has %v", with.ShortP99, b.ShortP99)
	}
	if float64(with.ShortP99) > longAim*float64(without.ShortP99) {
		t.Errorf("p99 of short work %v, without long work %v", with.ShortP99, without.ShortP99)
	}
}

// TestSlowedAim holds the tail of short work with two of twelve engines slowed
// tenfold against that without.
func TestSlowedAim(t *testing.T) {
	s, l := small(), smallLoad(0.6)
	l.CrestTo, l.End = 29*time.Second, 31*time.Second
	requests := l.Requests(s)
	without := play(t, s, l, "SharedQueue", requests)
	l.Slowdowns = []Slowdown{
		{Target: "engine-04", Factor: 10, From: 11 * time.Second, To: 31 * time.Second},
		{Target: "engine-10", Factor: 10, From: 11 * time.Second, To: 31 * time.Second},
	}
	with := play(t, s, l, "SharedQueue", requests)
	t.Logf("p99 %v, without slowed targets %v", with.ShortP99, without.ShortP99)
	if float64(with.ShortP99) > slowedAim*float64(without.ShortP99) {
		t.Errorf("p99 of short work %v with slowed targets, %v without", with.ShortP99, without.ShortP99)
	}
	if with.Extra > extraAim {
		var costs strings.Builder
		CostTable(&costs, with)
		t.Errorf("extra cost %.3f:\n%s", with.Extra, &costs)
	}
}
