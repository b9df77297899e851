package backpressure

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestColdRate checks the rate of all holders for several bounds. A rate that ignores the
// holders' bursts would exceed the bounds.
func TestColdRate(t *testing.T) {
	for _, c := range []struct {
		bounds   ColdBounds
		coldRate float64
		rate     float64
		limited  bool
	}{
		{ColdBounds{1.5, 5}, 12, 12, true},
		{ColdBounds{1.5, 0}, 12, 14 / 1.5, true},
		{ColdBounds{1, 0}, 12, 8 / 1.5, true},
		{ColdBounds{1, 1}, 2, 0, true},
		{ColdBounds{0, 5}, 12, 0, false},
		{ColdBounds{1.5, 5}, 0, 0, false},
	} {
		rate, limited := c.bounds.rate(c.coldRate)
		if diff := cmp.Diff([]any{c.rate, c.limited}, []any{rate, limited}); diff != "" {
			t.Errorf("%+v, cold rate %v (-want +got):\n%s", c.bounds, c.coldRate, diff)
		}
	}
}

// coldServiceSnapshot returns a snapshot with the targets of service s, whose cold time
// and rate are those of the second customer.
func coldServiceSnapshot(targets ...*catalog.Target) *catalog.Snapshot {
	return &catalog.Snapshot{
		Table:   &catalog.Table{Services: map[string]*catalog.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 12}}},
		Targets: map[string][]*catalog.Target{"s": targets},
	}
}

// coldMost is what a cold target of coldServiceSnapshot tolerates in a second.
const coldMost = 12*1.5 + 5

// TestColdRenewals has every entry of a target renew its cold time: it must be logged
// and renew leases once, not with each entry.
func TestColdRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		renewed := 0
		b := &Table{Clock: &clock.Service{}, Log: zap.New(core), Catalog: func() *catalog.Snapshot { return coldServiceSnapshot() }, Cold: ColdBounds{1.5, 5}}
		b.notifyLimits(func(string) { renewed++ })
		for i := range int64(20) {
			b.ObserveEntry(&catalog.Target{ID: "a", Service: "s", Born: 1, Sequence: i, Cold: catalog.Cold{Known: true, Left: 3 * time.Second}})
			b.limitedServices()
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		b.limitedServices()
		var got []string
		for _, l := range logs.All() {
			got = append(got, l.Message)
		}
		if diff := cmp.Diff([]string{"target is cold", "target is cold no longer"}, got); diff != "" || renewed != 1 {
			t.Errorf("renewed %d times, log (-want +got):\n%s", renewed, diff)
		}
	})
}

// TestTurnOfFrozenHost expects a turn at a cold target to end soon after its time, and
// one that was given at another rate not to count there. A host that had been frozen
// would otherwise use all its turns at once.
func TestTurnOfFrozenHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Table{Clock: &clock.Service{}, Log: zap.NewNop(), Catalog: func() *catalog.Snapshot { return coldServiceSnapshot() }, Cold: ColdBounds{1.5, 5}}
		target := &catalog.Target{ID: "a", Service: "s", Born: 1}
		warm := &catalog.Target{ID: "b", Service: "s", Born: 1, Cold: catalog.Cold{Known: true}}
		b.ObserveEntry(warm)
		const wait = 100 * time.Millisecond
		turn := Turn{AskedAt: time.Now(), Wait: wait, Cold: true}
		time.Sleep(wait + coldTurnLife)
		if !b.TurnHolds(target, turn) {
			t.Error("a turn in time is lost")
		}
		turn.Cold = false
		if b.TurnHolds(target, turn) {
			t.Error("a turn at another rate holds")
		}
		turn.Cold = true
		time.Sleep(time.Millisecond)
		if b.TurnHolds(target, turn) {
			t.Error("a late turn holds")
		}
		if !b.TurnHolds(warm, turn) {
			t.Error("a late turn at a warm target is lost")
		}
	})
}

// TestColdStateIsPruned expects the state of a target that is gone to be removed, but
// not that of one that is not in the snapshot yet. The end of the cold time must be logged:
// the log once showed a target that became cold and never warm.
func TestColdStateIsPruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		b := &Table{Clock: &clock.Service{}, Log: zap.New(core), Catalog: func() *catalog.Snapshot { return coldServiceSnapshot() }, Cold: ColdBounds{1.5, 5}}
		b.ObserveEntry(&catalog.Target{ID: "a", Service: "s", Born: 1, Cold: catalog.Cold{Known: true, Left: time.Minute}})
		b.ObserveEntry(&catalog.Target{ID: "b", Service: "s", Born: 1, Cold: catalog.Cold{Known: true}})
		b.Prune(coldServiceSnapshot())
		if diff := cmp.Diff(1, b.ColdTargets()); diff != "" {
			t.Errorf("targets at first (-want +got):\n%s", diff)
		}
		time.Sleep(coldPruneDelay + 1)
		b.Prune(coldServiceSnapshot())
		if diff := cmp.Diff(0, len(b.cold)); diff != "" {
			t.Errorf("targets later (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"target is cold a 1", "target is cold no longer a 1 removed"}, coldLog(logs)); diff != "" {
			t.Errorf("log (-want +got):\n%s", diff)
		}
	})
}

// TestColdStateOfNewIncarnation expects the end of a former incarnation's cold time to be
// logged if the new incarnation is warm: the log once showed the target as cold for good.
func TestColdStateOfNewIncarnation(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	b := &Table{Clock: &clock.Service{}, Log: zap.New(core), Catalog: func() *catalog.Snapshot { return coldServiceSnapshot() }, Cold: ColdBounds{1.5, 5}}
	for born, left := range []time.Duration{time.Minute, time.Minute, 0, 0} {
		b.ObserveEntry(&catalog.Target{ID: "a", Service: "s", Born: int64(born + 1), Cold: catalog.Cold{Known: true, Left: left}})
	}
	want := []string{"target is cold a 1", "target is cold no longer a 1 new incarnation", "target is cold a 2", "target is cold no longer a 2 new incarnation"}
	if diff := cmp.Diff(want, coldLog(logs)); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}

// coldLog returns the lines on cold targets with their target and incarnation, and with
// the source of those that are cold no longer.
func coldLog(logs *observer.ObservedLogs) []string {
	var out []string
	for _, l := range logs.All() {
		f := l.ContextMap()
		line := fmt.Sprint(l.Message, " ", f["Target"], " ", f["Born"])
		if l.Message != "target is cold" {
			line += fmt.Sprint(" ", f["Source"])
		}
		out = append(out, line)
	}
	return out
}

var coldSeeds = flag.Uint("coldseeds", 10, "seeds of TestColdTargetsWhileHostsFail")

// BenchmarkWarmTargets measures the checks that the load table makes for one request at
// each of 150 warm targets of a service with a cold rate.
func BenchmarkWarmTargets(b *testing.B) {
	const targets = 150
	var list []*catalog.Target
	for i := range targets {
		list = append(list, &catalog.Target{ID: fmt.Sprint("t", i), Service: "s", Born: 1, Cold: catalog.Cold{Known: true}})
	}
	snapshot := coldServiceSnapshot(list...)
	c := &clock.Service{}
	h := &Holder{Clock: c, Log: zap.NewNop(), Hosts: func() int { return 1 }, Table: &Table{Clock: c, Log: zap.NewNop(), Cold: ColdBounds{1.5, 5},
		Catalog: func() *catalog.Snapshot { return snapshot }}}
	for _, t := range list {
		h.Table.ObserveEntry(t)
	}
	for b.Loop() {
		for _, t := range list {
			if h.Limited(t) || h.Wait(t) > 0 {
				b.Fatalf("target %s is limited", t.ID)
			}
		}
	}
}
