package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func newFollower() *Follower {
	return &Follower{Clock: &clock.Service{}, Log: zap.NewNop()}
}

// entries returns one entry of each of n targets, from an offset on.
func entries(n int, from Offset, sequence int64) []TargetChange {
	var out []TargetChange
	for i := range n {
		id := fmt.Sprintf("t%d", i)
		out = append(out, TargetChange{ID: id, Offset: from + Offset(i), Target: &Target{ID: id, Service: "s", Born: 7, Sequence: sequence}})
	}
	return out
}

func registeredCount(f *Follower) int { return len(f.Snapshot().Targets["s"]) }

// TestRemovalAfterTurnAway removes a target while the store turns only this
// host away. A peer reads the store, so that the target must go at once.
func TestRemovalWhilePeerReadsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		f.recordOutage(true)
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t9", Offset: 10}}, Next: 11})
		if diff := cmp.Diff(9, registeredCount(f)); diff != "" {
			t.Errorf("targets (-want +got):\n%s", diff)
		}
	})
}

// TestRemovalInPeace removes a target after no entry was written for long.
func TestRemovalAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		time.Sleep(10 * time.Second)
		news := TargetsUpdate{Next: 12, Changes: append(entries(1, 10, 2), TargetChange{ID: "t9", Offset: 11})}
		f.ApplyTargets(news)
		if diff := cmp.Diff(9, registeredCount(f)); diff != "" {
			t.Errorf("targets (-want +got):\n%s", diff)
		}
	})
}

// TestLapseInOutage lets entries lapse while nobody reads the store: they are
// kept for a while, and those that come back stay.
func TestLapseDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		f.recordOutage(false)
		news := TargetsUpdate{Next: 20}
		for i := range 10 {
			news.Changes = append(news.Changes, TargetChange{ID: fmt.Sprintf("t%d", i), Offset: Offset(10 + i)})
		}
		f.ApplyTargets(news)
		if diff := cmp.Diff(10, registeredCount(f)); diff != "" {
			t.Errorf("targets just after the outage (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		f.ApplyTargets(TargetsUpdate{Changes: entries(6, 21, 3), Next: 27})
		time.Sleep(lapseGrace)
		f.ApplyTargets(TargetsUpdate{Next: 27})
		if diff := cmp.Diff(6, registeredCount(f)); diff != "" {
			t.Errorf("targets after the grace (-want +got):\n%s", diff)
		}
	})
}

// TestOldAndUnreadableEntries expects entries that were written before the
// newest one, and those that nobody can read, to change nothing.
func TestOldAndUnreadableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(1, 0, 5), Next: 1})
		leaving := &Target{ID: "t0", Service: "s", Born: 7, Sequence: 6, Leaving: true}
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t0", Offset: 1, Target: leaving}}, Next: 2})
		f.ApplyTargets(TargetsUpdate{Changes: entries(1, 2, 5), Next: 3})
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t0", Offset: 3, Unreadable: true}}, Next: 4})
		if got := f.Snapshot().Targets["s"][0]; got != leaving {
			t.Errorf("in force: %+v", got)
		}
		reborn := &Target{ID: "t0", Service: "s", Born: 8, Sequence: 1}
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t0", Offset: 4, Target: reborn}}, Next: 5})
		if got := f.Snapshot().Targets["s"][0]; got != reborn {
			t.Errorf("after the restart: %+v", got)
		}
	})
}

// TestTableNeverReverts expects an older version not to replace a newer one.
func TestTableNeverReverts(t *testing.T) {
	f := newFollower()
	for _, v := range []int64{3, 5, 4, 5} {
		f.ApplyTable(&Table{Version: v}, "test")
	}
	if diff := cmp.Diff(int64(5), f.Snapshot().Table.Version); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
}

// TestFind expects the longest prefix of the host's routes.
func TestFind(t *testing.T) {
	table := &Table{Routes: []*Route{
		{Name: "root", Host: "a", Prefix: "/"},
		{Name: "x", Host: "a", Prefix: "/x/"},
		{Name: "xy", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/x/y/z/"},
	}}
	table.Index()
	for path, want := range map[string]string{"/q": "root", "/x/1": "x", "/x/y/z/1": "xy", "/xy": "root"} {
		if got := table.Find("a", path); got == nil || got.Name != want {
			t.Errorf("Find(a, %s) = %+v, want %s", path, got, want)
		}
	}
	if got := table.Find("c", "/"); got != nil {
		t.Errorf("Find(c, /) = %+v", got)
	}
}
