package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
)

// fetch makes poller poll reader and returns the reply.
func fetch(t *testing.T, reader, poller *Follower, wait time.Duration) *Held {
	t.Helper()
	held := &Held{}
	if err := (&Relay{reader}).Fetch(poller.known(wait), held); err != nil {
		t.Fatal(err)
	}
	poller.applyHeld(held, Source{Name: "reader"})
	return held
}

// TestPollReader expects a host that polls a reader to know the same targets
// after changes, removals and a full list, which the reader reads when the
// history is lost.
func TestPollReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, poller := newFollower(), newFollower()
		reader.ApplyTable(&Table{Version: 3}, Source{Name: "store"})
		next := Offset(10)
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: next})
		steps := map[string]func(){
			"removal": func() {
				reader.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t3", Offset: next}}, Next: next + 1})
				next++
			},
			"change": func() {
				c := entries(1, next, 2)
				c[0].Target.Leaving = true
				reader.ApplyTargets(TargetsUpdate{Changes: c, Next: next + 1})
				next++
			},
			"whole": func() {
				// Targets that were removed before have registered again since.
				reader.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(5, next, 3), Next: next + 5})
				next += 5
			},
			"nothing": func() {},
		}
		for _, name := range []string{"nothing", "change", "removal", "nothing", "whole", "removal"} {
			steps[name]()
			fetch(t, reader, poller, 0)
			if diff := cmp.Diff(targetStates(reader), targetStates(poller)); diff != "" {
				t.Fatalf("after %s (-reader +poller):\n%s", name, diff)
			}
		}
		if got := poller.Snapshot().Table.Version; got != 3 {
			t.Errorf("version %d", got)
		}
	})
}

func targetStates(f *Follower) []string {
	var out []string
	for _, t := range f.Snapshot().Targets["s"] {
		out = append(out, fmt.Sprint(t.ID, t.Leaving))
	}
	return out
}

// TestPollOfFormerVersion expects the poll of a host that knows no eras to wait as long as it
// has the reader's offset: compared with an unknown era, each poll would end at once. A host
// that knows an earlier era gets the whole list.
func TestPollOfFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := newFollower()
		reader.recordTargetsRead()
		reader.recordTableRead()
		reader.ApplyTable(&Table{Version: 3}, Source{Name: "store"})
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(2, 0, 1), Next: 2, Era: 5})
		for _, c := range []struct {
			known Known
			took  time.Duration
			whole bool
		}{
			{Known{Version: 3, Next: 2, Wait: time.Second}, time.Second, false},
			{Known{Version: 3, Next: 2, Era: 5, ComparesEras: true, Wait: time.Second}, time.Second, false},
			{Known{Version: 3, Next: 9, Era: 4, ComparesEras: true, Wait: time.Second}, 0, true},
			{Known{Version: 3, Next: 1, Era: 6, ComparesEras: true, Wait: time.Second}, time.Second, false},
		} {
			start, held := time.Now(), &Held{}
			if err := (&Relay{reader}).Fetch(c.known, held); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took != c.took || held.Whole != c.whole {
				t.Errorf("%+v: took %v, whole %v", c.known, took, held.Whole)
			}
		}
	})
}

// TestPollReaderWaits expects a poll to return at the next change, or after its
// wait with the age of the reader's last read.
func TestPollReaderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, poller := newFollower(), newFollower()
		reader.recordTargetsRead()
		reader.recordTableRead()
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(2, 0, 1), Next: 2})
		fetch(t, reader, poller, 0)
		time.AfterFunc(300*time.Millisecond, func() {
			reader.ApplyTargets(TargetsUpdate{Changes: []TargetChange{{ID: "t0", Offset: 2}}, Next: 3})
		})
		start := time.Now()
		fetch(t, reader, poller, time.Second)
		if took := time.Since(start); took != 300*time.Millisecond || len(targetStates(poller)) != 1 {
			t.Errorf("took %v, knows %v", took, targetStates(poller))
		}
		held := fetch(t, reader, poller, time.Second)
		if took := time.Since(start); took != 1300*time.Millisecond || held.ReadAge != took {
			t.Errorf("took %v, age %v", took, held.ReadAge)
		}
	})
}

// TestReaderSelection expects two of many hosts to read the store for all, and
// every host to read it for itself if there are few hosts or if ApplyTime is too
// short for polls.
func TestReaderSelection(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		apply   time.Duration
		polling int
	}{{6, 3 * time.Second, 0}, {40, 3 * time.Second, 38}, {40, 1500 * time.Millisecond, 0}} {
		var hosts []peer.Host
		for i := range c.hosts {
			hosts = append(hosts, peer.Host{Name: fmt.Sprint("h", i)})
		}
		members := fixedMembers{peer.NewMembers(hosts)}
		polling := 0
		for _, h := range hosts {
			f := newFollower()
			f.Self, f.Members, f.ApplyTime = h.Name, members, c.apply
			if len(f.hostsToPoll()) > 0 {
				polling++
			}
		}
		if polling != c.polling {
			t.Errorf("%d hosts, apply time %v: %d poll a reader, want %d", c.hosts, c.apply, polling, c.polling)
		}
	}
}

type fixedMembers struct{ members *peer.Members }

func (f fixedMembers) Members() *peer.Members { return f.members }

// TestPeerThatIsBehind expects the list of a peer that is behind not to bring back
// a target that has been removed, nor one that lapsed in an outage.
func TestPeerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := &Held{Whole: true, Targets: entries(10, 0, 1), Next: 10}
		for _, full := range []bool{false, true} {
			for _, outage := range []bool{false, true} {
				f := newFollower()
				f.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(10, 0, 1), Next: 10})
				if outage {
					f.recordReadFailure(false)
				}
				update := TargetsUpdate{Changes: []TargetChange{{ID: "t9", Offset: 10}}, Next: 11}
				if full {
					update = TargetsUpdate{Full: true, Changes: entries(9, 0, 1), Next: 11}
				}
				f.ApplyTargets(update)
				f.applyHeld(old, Source{Name: "peer"})
				time.Sleep(lapseGrace)
				f.ApplyTargets(TargetsUpdate{Next: 11})
				if diff := cmp.Diff(9, registeredCount(f)); diff != "" {
					t.Errorf("full list %v, outage %v: targets (-want +got):\n%s", full, outage, diff)
				}
			}
		}
	})
}
