package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"github.com/google/go-cmp/cmp"
)

// fallsSilentFor sends two events, is silent for d, and goes on with the rest of wholeStream; a
// resumed stream gets the rest at once.
func fallsSilentFor(d time.Duration) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "t")
		from := 0
		if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			from = after + 1
		}
		for i := from; i < len(wholeStream)/len("id: 0\n\n"); i++ {
			if i == 2 && from == 0 && sleep(r.Context(), d) != nil {
				return
			}
			fmt.Fprintf(w, "id: %d\n\n", i)
			http.NewResponseController(w).Flush()
		}
	}
}

// pauseSecond has the second target paused for longer than goneTime: pauses grow.
func pauseSecond(h *Host) {
	t1 := h.Follower.Snapshot().ActiveTargets("s")[1]
	for range 5 {
		time.Sleep(5 * time.Second)
		h.Balancer.Begin(t1)
		h.Balancer.End(t1, fleet.Unreachable, 0)
	}
}

// TestSilentTarget guards against cutting a stream for its target's silence alone: a
// resumable stream moves to another target soon, but stays where none would take it, and
// is complete if its target goes on. After a long silence any other target will do.
func TestSilentTarget(t *testing.T) {
	const pause, hang, moved = 2500 * time.Millisecond, 20 * time.Second, 2 * time.Second
	whole := fmt.Sprintf("200 signed t %q", wholeStream)
	cut := fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n")
	for _, c := range []struct {
		name    string
		targets []behaviour
		change  func(h *Host)
		want    string
		least   time.Duration
		most    time.Duration
	}{
		{"another target", []behaviour{fallsSilentFor(hang), fallsSilentFor(0)}, nil, whole, minStallTimeout, moved},
		{"no other target", []behaviour{fallsSilentFor(pause)}, nil, whole, pause, pause + time.Second},
		{"no other target, it hangs", []behaviour{fallsSilentFor(hang)}, nil, cut, 7 * time.Second, 9 * time.Second},
		{"other target paused", []behaviour{fallsSilentFor(pause), fallsSilentFor(pause)}, pauseSecond, whole, pause, pause + time.Second},
		{"other target paused, it hangs", []behaviour{fallsSilentFor(hang), fallsSilentFor(0)}, pauseSecond, whole, goneTime, goneTime + time.Second},
		{"budget of repeats empty", []behaviour{fallsSilentFor(pause), fallsSilentFor(pause)}, func(h *Host) { h.Repeats.SetLimit(0, 0) }, whole, pause, pause + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), c.targets...)
				defer r.close()
				if c.change != nil {
					c.change(r.host)
				}
				start := time.Now()
				got := r.post("/a/x", "Id", "r1", "Wait", "8000")
				took := time.Since(start)
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("response (-want +got):\n%s", diff)
				}
				if took < c.least || took > c.most {
					t.Errorf("took %v, want %v to %v", took, c.least, c.most)
				}
			})
		})
	}
}
