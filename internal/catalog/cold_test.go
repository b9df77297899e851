package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// coldEntry returns an entry by which t0 is cold for left, at the offset of its
// sequence.
func coldEntry(sequence int64, left time.Duration) TargetChange {
	return TargetChange{ID: "t0", Offset: Offset(sequence), Target: &Target{ID: "t0", Service: "s", Born: 7, Sequence: sequence, Cold: Cold{Known: true, Left: left}}}
}

// TestColdTimeIsNoChange expects entries that only renew the cold time to be passed on
// one by one, without a new snapshot: each would wake what follows the snapshots.
func TestColdTimeIsNoChange(t *testing.T) {
	f := newFollower()
	changes := 0
	var got []int64
	f.OnChange = func(*Snapshot) { changes++ }
	f.OnEntry = func(t *Target) { got = append(got, t.Sequence) }
	f.ApplyTargets(TargetsUpdate{Full: true, Changes: []TargetChange{coldEntry(1, 3*time.Second)}, Next: 2})
	first := f.Snapshot()
	for i := int64(2); i < 10; i++ {
		f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{coldEntry(i, time.Duration(i)*time.Second)}, Next: Offset(i + 1)})
	}
	// An entry that is read again, and an older one, say nothing new.
	f.ApplyTargets(TargetsUpdate{Full: true, Changes: []TargetChange{coldEntry(9, 9*time.Second)}, Next: 10})
	f.ApplyTargets(TargetsUpdate{Changes: []TargetChange{coldEntry(4, 0)}, Next: 10})
	if diff := cmp.Diff([]int64{1, 2, 3, 4, 5, 6, 7, 8, 9}, got); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	if changes != 1 || f.Snapshot() != first {
		t.Errorf("%d changes, want 1", changes)
	}
}

// TestEntryBeforeSnapshot expects an entry to be passed on before a snapshot holds its
// target: a request may go there as soon as it does.
func TestEntryBeforeSnapshot(t *testing.T) {
	f := newFollower()
	f.OnEntry = func(target *Target) {
		if f.Snapshot().Has(target.ID) {
			t.Error("the snapshot has the target before its entry was passed on")
		}
	}
	f.ApplyTargets(TargetsUpdate{Full: true, Changes: []TargetChange{coldEntry(1, 0)}, Next: 2})
}

// TestColdTimeAtPeer expects a peer to get what is left of a cold time, counted from
// the first read of the entry. A peer that got the time as written would count it anew.
func TestColdTimeAtPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := newFollower()
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: []TargetChange{coldEntry(1, 3*time.Second)}, Next: 2})
		time.Sleep(time.Second)
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: []TargetChange{coldEntry(1, 3*time.Second)}, Next: 2})
		for _, want := range []Cold{{true, 2 * time.Second}, {true, 0}} {
			poller := newFollower()
			fetch(t, reader, poller, 0)
			if diff := cmp.Diff(want, poller.Snapshot().Targets["s"][0].Cold); diff != "" {
				t.Errorf("after %v (-want +got):\n%s", time.Second, diff)
			}
			time.Sleep(5 * time.Second)
		}
		unknown := TargetChange{ID: "t0", Offset: 2, Target: &Target{ID: "t0", Service: "s", Born: 8, Sequence: 1}}
		reader.ApplyTargets(TargetsUpdate{Changes: []TargetChange{unknown}, Next: 3})
		poller := newFollower()
		fetch(t, reader, poller, 0)
		if diff := cmp.Diff(Cold{}, poller.Snapshot().Targets["s"][0].Cold); diff != "" {
			t.Errorf("without a cold time (-want +got):\n%s", diff)
		}
	})
}
