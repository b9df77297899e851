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

// newTargets returns n targets in the given number of domains.
func newTargets(n, domains int) []*catalog.Target {
	var out []*catalog.Target
	for i := range n {
		out = append(out, &catalog.Target{ID: fmt.Sprintf("t%d", i), Domain: fmt.Sprintf("d%d", i%domains), Slots: 8, Born: 1})
	}
	return out
}

// TestAffinity expects requests with the same affinity key at one target whichever
// host chooses, and at others once that target is loaded far beyond the mean.
func TestAffinity(t *testing.T) {
	targets := newTargets(9, 3)
	here, there := newBalancer(), newBalancer()
	there.Domain = "d2"
	for i := range 50 {
		req := Request{AffinityKey: fmt.Sprint(i)}
		if a, b := here.Choose(targets, req), there.Choose(targets, req); a != b {
			t.Errorf("requests with key %d go to %s and %s", i, a.ID, b.ID)
		}
	}
	used := map[string]int{}
	for range 100 {
		target := here.Choose(targets, Request{AffinityKey: "hot"})
		here.Begin(target)
		used[target.ID]++
	}
	for id, n := range used {
		if bound := affinityLoadFactor*100/9 + affinityLoadSlack + 1; float64(n) > bound {
			t.Errorf("%s has %d of 100 requests, bound %v", id, n, bound)
		}
	}
}

// TestPauses expects a target to be paused at once if it is unreachable and after
// pauseAfter failures otherwise, and both to be used again later.
func TestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer()
		targets := newTargets(2, 1)
		b.Begin(targets[0])
		b.End(targets[0], Unreachable, time.Millisecond)
		if got := b.Choose(targets, Request{}); got != targets[1] {
			t.Errorf("chose %s", got.ID)
		}
		for range pauseAfter {
			time.Sleep(sameCauseTime)
			b.Begin(targets[1])
			b.End(targets[1], Failed, time.Millisecond)
		}
		if diff := cmp.Diff([]string{"t0", "t1"}, b.Paused(targets)); diff != "" {
			t.Errorf("paused (-want +got):\n%s", diff)
		}
		if got := b.Choose(targets, Request{}); got == nil {
			t.Error("no target chosen, though both are only paused")
		}
		time.Sleep(maxPause)
		b.Begin(targets[0])
		b.End(targets[0], Answered, time.Millisecond)
		if got := b.Choose(targets, Request{}); got != targets[0] {
			t.Errorf("chose %s", got.ID)
		}
	})
}

// TestBreakOfManySends breaks ten sends to one of two targets at the same moment, as a
// reset of connections does. That is one failure: the target was hardly used any more,
// until the other one had several times the work that it can do at once.
func TestBreakOfManySends(t *testing.T) {
	const broken, requests, least = 10, 200, 50
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer()
		targets := newTargets(2, 1)
		for _, target := range targets {
			b.Begin(target)
			b.End(target, Answered, 50*time.Millisecond)
		}
		for range broken {
			b.Begin(targets[0])
		}
		for range broken {
			b.End(targets[0], Failed, 50*time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(maxPause)
		got := 0
		for range requests {
			target := b.Choose(targets, Request{})
			if target == targets[0] {
				got++
			}
			b.Begin(target)
			time.AfterFunc(50*time.Millisecond, func() { b.End(target, Answered, 50*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if got < least {
			t.Errorf("the target got %d of %d requests, want %d", got, requests, least)
		}
	})
}

// TestNewIncarnation expects nothing of an earlier incarnation of a target to
// count.
func TestNewIncarnation(t *testing.T) {
	b := newBalancer()
	targets := newTargets(2, 1)
	b.Begin(targets[0])
	b.End(targets[0], Unreachable, time.Millisecond)
	restarted := *targets[0]
	restarted.Born = 2
	if got := b.Choose([]*catalog.Target{&restarted}, Request{}); got != &restarted {
		t.Errorf("chose %+v", got)
	}
	if diff := cmp.Diff(time.Time{}, b.targetStates[restarted.ID].pausedUntil); diff != "" {
		t.Errorf("pause (-want +got):\n%s", diff)
	}
}
