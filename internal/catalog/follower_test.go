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

// entries returns one entry for each of n targets, at consecutive offsets that
// start with from.
func entries(n int, from Offset, sequence int64) []TargetChange {
	var out []TargetChange
	for i := range n {
		id := fmt.Sprintf("t%d", i)
		out = append(out, TargetChange{ID: id, Offset: from + Offset(i), Target: &Target{ID: id, Service: "s", Born: 7, Sequence: sequence}})
	}
	return out
}

func registeredCount(f *Follower) int { return len(f.Snapshot().Targets["s"]) }

// TestRemovalWhilePeerReadsStore removes a target while the store rejects only
// this host. A peer can read the store, so there is no outage and the target
// must be removed at once.
func TestRemovalWhilePeerReadsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		f.recordReadFailure(true)
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t9", Offset: 10}}, Next: 11})
		if diff := cmp.Diff(9, registeredCount(f)); diff != "" {
			t.Errorf("targets (-want +got):\n%s", diff)
		}
	})
}

// TestRemovalAfterIdleTime removes a target after ten seconds without entries.
// A quiet store is no outage, so the target must be removed at once.
func TestRemovalAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		time.Sleep(10 * time.Second)
		update := TargetsUpdate{Next: 12, Changes: append(entries(1, 10, 2), TargetChange{ID: "t9", Offset: 11})}
		f.ApplyTargets(update)
		if diff := cmp.Diff(9, registeredCount(f)); diff != "" {
			t.Errorf("targets (-want +got):\n%s", diff)
		}
	})
}

// TestLapseDuringOutage lets entries lapse while no host can read the store.
// They must be kept for lapseGrace, and those that are registered again by then
// must stay.
func TestLapseDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
		f.recordReadFailure(false)
		update := TargetsUpdate{Next: 20}
		for i := range 10 {
			update.Changes = append(update.Changes, TargetChange{ID: fmt.Sprintf("t%d", i), Offset: Offset(10 + i)})
		}
		f.ApplyTargets(update)
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
// newest one, and those that cannot be decoded, to change nothing.
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
		restarted := &Target{ID: "t0", Service: "s", Born: 8, Sequence: 1}
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t0", Offset: 4, Target: restarted}}, Next: 5})
		if got := f.Snapshot().Targets["s"][0]; got != restarted {
			t.Errorf("after the restart: %+v", got)
		}
	})
}

// TestTableNeverReverts expects an older version not to replace a newer one.
func TestTableNeverReverts(t *testing.T) {
	f := newFollower()
	for _, v := range []int64{3, 5, 4, 5} {
		f.ApplyTable(&Table{Version: v}, Source{Name: "test"})
	}
	if diff := cmp.Diff(int64(5), f.Snapshot().Table.Version); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
}

// TestFind expects the route with the longest matching prefix among those of
// the host.
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
