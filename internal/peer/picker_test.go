package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// TestPicker expects a skipped holder to be replaced for as long as it is skipped, and
// to be used all the same if there is no other.
func TestPicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := NewMembers([]Host{{Name: "a"}, {Name: "b"}})
		p := &Picker{Clock: &clock.Service{}, Members: func() *Members { return members }}
		first := p.Holder("k")
		p.Skip(first, time.Second)
		second := p.Holder("k")
		if second == first {
			t.Errorf("skipped holder %s was picked", first.Name)
		}
		p.Skip(second, 2*time.Second)
		p.Holder("k")
		time.Sleep(time.Second)
		if got := p.Holder("k"); got != first {
			t.Errorf("picked %s after its skip, want %s", got.Name, first.Name)
		}
	})
}

// TestRecentMax expects hosts that are gone to count for the lifetime, and no longer.
func TestRecentMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 6
		m := &RecentMax{Clock: &clock.Service{}, Lifetime: time.Minute, Count: func() int { return n }}
		for _, step := range []struct {
			count int
			after time.Duration
			want  int
		}{{6, 0, 6}, {2, 30 * time.Second, 6}, {8, time.Second, 8}, {0, time.Minute, 8}, {0, time.Second, 1}} {
			time.Sleep(step.after)
			n = step.count
			if got := m.Value(); got != step.want {
				t.Errorf("%d hosts after %v: %d, want %d", step.count, step.after, got, step.want)
			}
		}
	})
}
