package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// The tests of this file have something fail beside a target, and expect the target to
// be used as before.

// TestTargetThatLacksInputs has a target return some requests because their
// stage results were gone. It was taken for one without capacity, and others were
// preferred to it for up to a second.
func TestTargetThatLacksInputs(t *testing.T) {
	const returned = 8
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		left := returned
		returns := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				respondsWith("id: 0\n\n")(w, r)
				return
			}
			w.Header().Set("Not-Run", "inputs")
			w.WriteHeader(http.StatusConflict)
		}
		r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) {
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 1}}
		}), returns)
		defer r.close()
		var wg sync.WaitGroup
		for i := range returned {
			wg.Go(func() { r.post("/a/x", "Id", fmt.Sprint("r", i), "Wait", "8000", "Pieces", "1", "Parts", "a,own") })
		}
		targets := r.host.Follower.Snapshot().ActiveTargets("s")
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
			if paused := r.host.Balancer.Paused(targets); len(paused) > 0 {
				t.Fatalf("paused after %v: %v", time.Since(start), paused)
			}
		}
		wg.Wait()
	})
}
