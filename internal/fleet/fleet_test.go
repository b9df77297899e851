package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func newBalancer() *Balancer {
	return &Balancer{Clock: &clock.Service{}, Log: zap.NewNop(), Domain: "d0"}
}

// newTargets returns n targets in so many domains.
func newTargets(n, domains int) []*catalog.Target {
	var out []*catalog.Target
	for i := range n {
		out = append(out, &catalog.Target{ID: fmt.Sprintf("t%d", i), Domain: fmt.Sprintf("d%d", i%domains), Slots: 8, Born: 1})
	}
	return out
}

// TestHome expects requests with the same shared prompt at one target whichever
// host chooses, and others once that target is loaded far beyond the mean.
func TestAffinity(t *testing.T) {
	targets := newTargets(9, 3)
	here, there := newBalancer(), newBalancer()
	there.Domain = "d2"
	for i := range 50 {
		want := Want{AffinityKey: fmt.Sprint(i)}
		if a, b := here.Choose(targets, want), there.Choose(targets, want); a != b {
			t.Errorf("home %d is at %s and %s", i, a.ID, b.ID)
		}
	}
	used := map[string]int{}
	for range 100 {
		target := here.Choose(targets, Want{AffinityKey: "hot"})
		here.Begin(target)
		used[target.ID]++
	}
	for id, n := range used {
		if bound := affinityLoadFactor*100/9 + affinityLoadSlack + 1; float64(n) > bound {
			t.Errorf("%s has %d of 100 requests, bound %v", id, n, bound)
		}
	}
}

// TestPauses expects a target that can't be reached to be left out at once, one
// that fails after pauseAfter failures, and both to come back.
func TestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer()
		targets := newTargets(2, 1)
		b.Begin(targets[0])
		b.End(targets[0], Unreachable, time.Millisecond)
		if got := b.Choose(targets, Want{}); got != targets[1] {
			t.Errorf("chose %s", got.ID)
		}
		for range pauseAfter {
			b.Begin(targets[1])
			b.End(targets[1], Failed, time.Millisecond)
		}
		if got := b.Choose(targets, Want{}); got == nil {
			t.Error("no target, though both are only paused")
		}
		time.Sleep(maxPause)
		b.Begin(targets[0])
		b.End(targets[0], Answered, time.Millisecond)
		if got := b.Choose(targets, Want{}); got != targets[0] {
			t.Errorf("chose %s", got.ID)
		}
	})
}

// TestRebirth expects nothing of a target's earlier life to count.
func TestNewIncarnation(t *testing.T) {
	b := newBalancer()
	targets := newTargets(2, 1)
	b.Begin(targets[0])
	b.End(targets[0], Unreachable, time.Millisecond)
	reborn := *targets[0]
	reborn.Born = 2
	if got := b.Choose([]*catalog.Target{&reborn}, Want{}); got != &reborn {
		t.Errorf("chose %+v", got)
	}
	if diff := cmp.Diff(time.Time{}, b.targetStates[reborn.ID].pausedUntil); diff != "" {
		t.Errorf("pause (-want +got):\n%s", diff)
	}
}
