package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestJoinAtOnce starts many hosts again at the same time, with two of the three
// seeds dead: each knows others before it could take much for its own. A host
// that knows no other believes that it holds everything.
func TestJoinAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newCluster(t, ctx, 24)
		defer f.stop()
		for i := range 20 {
			if i != 2 {
				f.kill(i)
			}
		}
		for i := 3; i < 20; i++ {
			f.start(i)
		}
		time.Sleep(2 * pollInterval)
		for i := 2; i < 20; i++ {
			if n := len(f.nodes[i].Members().Hosts); n < 2 {
				t.Errorf("host %d knows %d hosts %v after its start", i, n, 2*pollInterval)
			}
		}
		// Within joinInterval of a seed's return the others know it too.
		for i := range 2 {
			f.start(i)
		}
		time.Sleep(joinInterval)
		for i := range 2 {
			if n := len(f.nodes[i].Members().Hosts); n < 2 {
				t.Errorf("seed %d knows %d hosts", i, n)
			}
		}
	})
}
