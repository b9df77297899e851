package stage

import (
	"fmt"
	"testing"
	"testing/synctest"

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
