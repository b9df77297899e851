package pipeline

import (
	"sync"
	"testing"
	"time"
)

// TestAbandonedCostBesideStart checks, under the race detector, that the cost of
// the running attempts can be added while another attempt of the stage begins its
// send. A hedge that wins does so while the first attempt may still wait to start.
func TestAbandonedCostBesideStart(t *testing.T) {
	st := &stageRun{}
	start := time.Now()
	for range 100 {
		a := &attempt{}
		st.running = []*attempt{a}
		var wg sync.WaitGroup
		wg.Go(func() { st.markStarted(a, start) })
		wg.Go(func() { st.addAbandonedCost(start.Add(time.Second)) })
		wg.Wait()
		if !a.sentAt.Equal(start) {
			t.Fatalf("sentAt is %v, want %v", a.sentAt, start)
		}
	}
	if st.report.Cost != st.report.Extra {
		t.Errorf("cost %v, extra %v; abandoned work is extra", st.report.Cost, st.report.Extra)
	}
}
