package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentConnections has all connections among the hosts go silent for good while
// new ones work: no host may be believed dead, and a note must reach all of them as
// soon as its loss shows.
func TestSilentConnections(t *testing.T) {
	const maxSpreadTime = 2 * time.Second
	for _, hosts := range []int{2, 3, 12} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cluster{t: t, ctx: t.Context()}
				c.net.Delay = time.Millisecond
				for i := range hosts {
					c.start(i)
				}
				defer c.stop()
				time.Sleep(10 * time.Second)
				for i := range hosts {
					for j := range i {
						c.net.Silence(c.host(i).Addr.Addr(), c.host(j).Addr.Addr())
					}
				}
				c.nodes[hosts-1].Spread(Note{Kind: CrashNote})
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
					if !c.agree() {
						t.Fatalf("members differ from the hosts after %v", time.Since(start))
					}
					if time.Since(start) >= maxSpreadTime {
						for i, n := range c.nodes {
							if n.notes.Load() != 1 {
								t.Fatalf("host %d got the note %d times within %v", i, n.notes.Load(), time.Since(start))
							}
						}
					}
				}
			})
		})
	}
}
