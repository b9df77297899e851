package stage

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// submitInTurn submits n jobs, one after another.
func submitInTurn(t *testing.T, b *Batcher, n int) {
	t.Helper()
	for i := range n {
		if o := b.Submit(t.Context(), testJob(fmt.Sprint("j", i), 1)); o.Fault != None {
			t.Errorf("job %d: %v", i, o.Fault)
		}
	}
}

// TestLeavingPoolTarget expects no calls to a target that said in a reply that it
// leaves, although the catalog doesn't.
func TestLeavingPoolTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{signal: func(target *catalog.Target) backpressure.Signal {
			return backpressure.Signal{Leaving: target.ID == "t0"}
		}}
		submitInTurn(t, newBatcher(t, pool, 2, testPool()), 4)
		if diff := cmp.Diff([]string{"t0 1", "t1 1", "t1 1", "t1 1"}, pool.calls); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// TestPausedPoolTarget expects a target that rejects a call and asks for a pause to get
// no call before its end, while another one serves.
func TestPausedPoolTarget(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{
			signal: func(target *catalog.Target) backpressure.Signal {
				if target.ID == "t0" {
					return backpressure.Signal{Pause: pause}
				}
				return backpressure.Signal{}
			},
			fail: func(target *catalog.Target, _ []Piece) error {
				if target.ID == "t0" {
					return ErrRejected
				}
				return nil
			},
		}
		b := newBatcher(t, pool, 2, testPool())
		start := time.Now()
		for time.Since(start) < pause {
			submitInTurn(t, b, 1)
		}
		if n := len(pool.calls) - strings.Count(strings.Join(pool.calls, ","), "t1"); n != 1 {
			t.Errorf("%d calls to the paused target: %v", n, pool.calls)
		}
	})
}
