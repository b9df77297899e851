package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/rcrowley/go-metrics"
)

// slowConnect is longer than a turn at a cold target lasts.
const slowConnect = 220 * time.Millisecond

// TestTurnLostWhileConnecting has turns at a cold target end while the host connects to
// it. The requests must not be sent on them: the target would get them together with those
// of later turns. They must be served by the other cold target, and neither count as sends
// nor as failures of the target, nor draw on the budget of repeats.
func TestTurnLostWhileConnecting(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow, fast := &coldTarget{}, &coldTarget{}
				r := prepareCold(t, c.kind, slow, fast)
				r.network.SetDelay(hostAddr, targetAddr(0).Addr(), slowConnect)
				r.start()
				defer r.close()
				slow.write(r, time.Minute)
				fast.write(r, time.Minute)
				time.Sleep(3 * time.Second)
				const requests = 10
				r.postMany(requests, c.header)
				if paused := r.host.Balancer.Paused([]*catalog.Target{&slow.entry}); len(paused) > 0 {
					t.Errorf("lost turns count as failures: %v is paused", paused)
				}
				if n := len(slow.arrived); n > 0 || len(fast.arrived) != requests {
					t.Errorf("%d requests on lost turns, %d at the other target", n, len(fast.arrived))
				}
				r.checkLostTurns(c.kind.String(), requests)
			})
		})
	}
}

// TestTurnLostAtOnlyTarget is like TestTurnLostWhileConnecting but without another
// target. Requests must wait for another turn and be sent on it.
func TestTurnLostAtOnlyTarget(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &coldTarget{}
				r := prepareCold(t, c.kind, target)
				r.network.SetDelay(hostAddr, targetAddr(0).Addr(), slowConnect)
				r.start()
				defer r.close()
				target.write(r, time.Minute)
				time.Sleep(3 * time.Second)
				const requests = 3
				time.AfterFunc(slowConnect/2, func() { r.network.SetDelay(hostAddr, targetAddr(0).Addr(), time.Millisecond) })
				r.postMany(requests, c.header)
				if n := len(target.arrived); n != requests {
					t.Errorf("%d requests sent, want %d", n, requests)
				}
				r.checkLostTurns(c.kind.String(), requests)
			})
		})
	}
}

// TestTurnsAlwaysLost has connections to the only target always take longer than a turn
// there. A request must be refused after a few turns rather than held until its deadline.
func TestTurnsAlwaysLost(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &coldTarget{}
				r := prepareCold(t, c.kind, target)
				r.network.SetDelay(hostAddr, targetAddr(0).Addr(), slowConnect)
				r.start()
				defer r.close()
				target.write(r, time.Minute)
				time.Sleep(3 * time.Second)
				start := time.Now()
				got := r.post("/a/b", append([]string{"Wait", "8000"}, c.header...)...)
				if took := time.Since(start); got != "503" || took > 5*slowConnect || len(target.arrived) > 0 {
					t.Errorf("%s after %v, %d requests on lost turns", got, took, len(target.arrived))
				}
			})
		})
	}
}

// postMany posts requests 100 ms apart, which must all be served.
func (r *fixture) postMany(n int, header []string) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if got := r.post("/a/b", append([]string{"Id", fmt.Sprint("r", i), "Wait", "5000"}, header...)...); !strings.HasPrefix(got, "200") {
				r.t.Errorf("request %d: %s", i, got)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// checkLostTurns expects that turns were lost, and that each request counts as sent once.
func (r *fixture) checkLostTurns(kind string, requests int64) {
	r.t.Helper()
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, r.host.Metrics).Count() }
	lost, stopped, sends := count("Cold.TurnsLost"), count(stoppedCounter), count("Sends."+kind)
	if lost == 0 || stopped == 0 || sends != requests {
		r.t.Errorf("%d turns lost, %d sends stopped, %d sends counted of %d requests", lost, stopped, sends, requests)
	}
}
