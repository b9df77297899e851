package backpressure

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// TestUpdatesInAnyOrder expects hosts that hear the same updates about a target to
// believe the same, in whatever order they hear them and however often.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		update := rapid.Custom(func(t *rapid.T) Update {
			u := Update{Target: "a", Service: "s", Born: rapid.Int64Range(1, 2).Draw(t, "born"), Version: rapid.Int64Range(1, 3).Draw(t, "version")}
			u.Leaving = rapid.Bool().Draw(t, "leaving")
			if u.Limited = rapid.Bool().Draw(t, "limited"); u.Limited {
				u.Limit = float64(rapid.IntRange(0, 3).Draw(t, "limit"))
			}
			return u
		})
		updates := rapid.SliceOfN(update, 1, 6).Draw(t, "updates")
		other := rapid.Permutation(append(updates, updates[0])).Draw(t, "other")
		if diff := cmp.Diff(believe(updates), believe(other)); diff != "" {
			t.Fatalf("beliefs after %v (-) and %v (+):\n%s", updates, other, diff)
		}
	})
}

// believe returns what a host believes after the updates.
func believe(updates []Update) Update {
	table := &Table{Clock: &clock.Service{}, Log: zap.NewNop()}
	for _, u := range updates {
		table.Apply(u)
	}
	return table.targets["a"].Update
}

// TestInvalidUpdate expects an update that no host could have sent to be ignored.
func TestInvalidUpdate(t *testing.T) {
	valid := Update{Target: "a", Service: "s", Born: 1, Version: 1, Limited: true, Limit: 2}
	for _, change := range []func(*Update){
		func(u *Update) { u.Limit = -1 },
		func(u *Update) { u.Limit = 1 / zero },
		func(u *Update) { u.Limit = zero / zero },
		func(u *Update) { u.Target = "" },
	} {
		u := valid
		u.Version++
		change(&u)
		if diff := cmp.Diff(valid, believe([]Update{valid, u})); diff != "" {
			t.Errorf("belief after %+v (-want +got):\n%s", u, diff)
		}
	}
}

// zero keeps the compiler from dividing by a constant.
var zero = 0.0

// notes is an Exchange that delivers nothing and keeps what was spread.
type notes chan Update

func (n notes) OnNote(peer.NoteKind, func(peer.Note)) {}

func (n notes) Spread(note peer.Note) {
	var u Update
	if err := json.Unmarshal(note.Data, &u); err != nil {
		panic(err)
	}
	n <- u
}

// TestHostThatStartedLate has a host that has heard of one change alone tell others,
// which have heard of more, that a limit has ended.
func TestHostThatStartedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spread := make(notes, 100)
		target := &catalog.Target{ID: "a", Service: "s", Born: 1}
		newTable := func() *Table {
			return &Table{Clock: &clock.Service{}, Log: zap.NewNop(), Exchange: spread}
		}
		observe := func(table *Table, s Signal) Update {
			time.Sleep(time.Second)
			table.Observe(target, time.Now().Add(-time.Millisecond), s)
			return <-spread
		}
		old, late := newTable(), newTable()
		for limit := range 5 {
			observe(old, Signal{Limited: true, Limit: float64(limit)})
		}
		observe(late, Signal{Limited: true, Limit: 4})
		ended := observe(late, Signal{})
		old.Apply(ended)
		if old.Limited(target) {
			t.Errorf("the limit is in force after %+v", ended)
		}
	})
}
