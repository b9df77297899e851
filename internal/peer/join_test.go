package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestJoinAtOnce restarts many hosts at the same time while two of the three
// seeds are dead. Each host must know others soon after its start, since one
// that knows no other believes that it holds every key.
func TestJoinAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(t, ctx, 24)
		defer c.stop()
		for i := range 20 {
			if i != 2 {
				c.kill(i)
			}
		}
		for i := 3; i < 20; i++ {
			c.start(i)
		}
		time.Sleep(2 * pollInterval)
		for i := 2; i < 20; i++ {
			if n := len(c.nodes[i].Members().Hosts); n < 2 {
				t.Errorf("host %d knows %d hosts %v after its start", i, n, 2*pollInterval)
			}
		}
		// A restarted seed knows others within joinInterval.
		for i := range 2 {
			c.start(i)
		}
		time.Sleep(joinInterval)
		for i := range 2 {
			if n := len(c.nodes[i].Members().Hosts); n < 2 {
				t.Errorf("seed %d knows %d hosts", i, n)
			}
		}
	})
}
