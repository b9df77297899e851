package backpressure

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// slowColdRate and slowColdBounds allow a low rate at cold targets: two requests a second
// of all holders, and at most slowColdMost in any second.
const (
	slowColdRate = 2.0
	slowColdMost = slowColdRate*1.5 + 4
)

var slowColdBounds = ColdBounds{1.5, 4}

// TestTurnsOfFormerHolders partitions the hosts into four parts and moves the shares of
// each part from holder to holder. Turns that the former holders granted can't be revoked.
// With long waits, they were used together with those of their successors, and a cold
// target got more in a second than it tolerates.
func TestTurnsOfFormerHolders(t *testing.T) {
	const hosts, sides, moves = 8, int(maxColdHolders), 8
	for _, held := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second} {
		t.Run(held.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &catalog.Target{ID: "a", Service: "s", Born: 1, Cold: catalog.Cold{Known: true, Left: time.Minute}}
				snapshot := coldServiceSnapshot(target)
				snapshot.Table.Services["s"].ColdRate = slowColdRate
				var used []time.Time
				for range moves {
					var holders []*Holder
					for range sides {
						table := &Table{Clock: &clock.Service{}, Log: zap.NewNop(), Cold: slowColdBounds, Catalog: func() *catalog.Snapshot { return snapshot }}
						table.ObserveEntry(target)
						holders = append(holders, &Holder{Clock: table.Clock, Log: table.Log, Table: table, Hosts: func() int { return hosts }})
					}
					renew := func(ends bool) {
						for i := range hosts {
							holders[i%sides].renew(&Renewal{Host: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}).String(), Service: "s", Hosts: hosts, Return: ends})
						}
					}
					renew(false)
					time.Sleep(coldLeaseDelay)
					const step = 25 * time.Millisecond
					for waited := time.Duration(0); waited <= held; waited += step {
						renew(false)
						for _, h := range holders {
							grant := h.take(&Ask{Service: "s", MaxWait: maxWait, Targets: []Candidate{{target.ID, target.Born}}})
							if grant.Target != "" {
								used = append(used, time.Now().Add(grant.Wait))
							}
						}
						if waited+step <= held {
							time.Sleep(step)
						}
					}
					renew(true)
				}
				for _, from := range used {
					n := 0
					for _, at := range used {
						if !at.Before(from) && at.Before(from.Add(time.Second)) {
							n++
						}
					}
					if n > slowColdMost {
						t.Errorf("%d requests in a second, want at most %v", n, slowColdMost)
						break
					}
				}
				// A holder earns a turn in two seconds.
				if least := moves * sides; held > 2*time.Second && len(used) < least {
					t.Errorf("%d turns, want at least %d", len(used), least)
				}
			})
		})
	}
}
