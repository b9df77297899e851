package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/stage"
)

// peakPools are three pools of two targets each that differ as those of a deployment do:
// the third one can serve least requests, 43 a second with 16 pieces each.
var peakPools = map[string]*catalog.Pool{
	"a": {Slots: 1, Batch: 12, CallTime: 150 * time.Millisecond, PieceTime: 11 * time.Millisecond, RoomBytes: 59 << 20, ResultLife: 10 * time.Second},
	"b": {Slots: 1, Batch: 64, CallTime: 150 * time.Millisecond, PieceTime: 2 * time.Millisecond, RoomBytes: 11 << 20, ResultLife: 10 * time.Second},
	"c": {Slots: 1, Batch: 96, CallTime: 150 * time.Millisecond, PieceTime: 1300 * time.Microsecond, RoomBytes: 1700 << 10, ResultLife: 10 * time.Second},
}

const (
	peakTargets = 2  // of each pool
	peakHosts   = 8  // that share the load
	peakRate    = 43 // requests a second that the pools can serve
	peakAim     = 1600 * time.Millisecond
	peakWait    = 10 * time.Second // of callers
)

// admissions holds all values of StageAdmission.
var admissions = []stage.Admission{stage.EstimateAdmission, stage.ForecastAdmission, stage.ReservationAdmission}

// newPeakFixture returns a fixture with the pools and routes of three stages in a row.
func newPeakFixture(t *testing.T, admission stage.Admission) *fixture {
	routes := route(catalog.Stream, func(r *catalog.Route) {
		r.Aim, r.Patience = peakAim, 4*peakAim
		r.Stages = []catalog.Stage{{Service: "a", ResultBytes: 1000}, {Service: "b", After: []int{0}, ResultBytes: 1000}, {Service: "c", After: []int{1}, ResultBytes: 1000}}
	})
	r := prepareFixture(t, routes, events("t", -1), events("t", -1), events("t", -1), events("t", -1))
	r.admission = admission
	for name, pool := range peakPools {
		r.feed.table.Services[name] = &catalog.Service{Name: name, Pool: pool}
		for i := range peakTargets {
			id := fmt.Sprint(name, i)
			r.feed.targets = append(r.feed.targets, catalog.TargetChange{ID: id, Target: &catalog.Target{ID: id, Service: name, Addr: targetAddr(100 + i), Slots: 1}})
		}
	}
	r.pool.took = func(t *catalog.Target, pieces int) time.Duration {
		pool := peakPools[t.Service]
		return pool.CallTime + time.Duration(pieces)*pool.PieceTime
	}
	return r
}

// peakCounts is what became of the requests of a load.
type peakCounts struct {
	requests, onTime, late, refused, ended int
	// retries is the number of requests that are repeats of refused ones, unserved that of
	// callers who were not served in the end.
	retries, unserved int
	// slowest is the longest time that a refusal took.
	slowest time.Duration
	// retryAfter holds the delays that refusals named.
	retryAfter []time.Duration
}

// String describes the counts.
func (c *peakCounts) String() string {
	return fmt.Sprintf("%d requests, %d of them repeats: %d served on time, %d served late, %d refused at once (the slowest after %v), %d ended after being let in; %d callers not served",
		c.requests, c.retries, c.onTime, c.late, c.refused, c.slowest, c.ended, c.unserved)
}

// refusedWithin is the time within which a refusal counts as one at once.
const refusedWithin = 200 * time.Millisecond

// peakLoad sends requests with stages of 1, 8 and 16 pieces to the hosts.
type peakLoad struct {
	r      *fixture
	addrs  []netip.Addr
	random *rand.Rand
	wg     sync.WaitGroup

	mu     sync.Mutex
	counts map[string]*peakCounts // by workspace
}

// send sends rate requests a second for d.
func (l *peakLoad) send(key string, rate float64, d time.Duration) {
	for i := range int(d.Seconds() * rate) {
		host := l.addrs[l.random.IntN(len(l.addrs))]
		l.wg.Go(func() { l.sendTwice(host, key, fmt.Sprint(key, time.Now().UnixNano(), "-", i)) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// sendTwice sends a request, and again after the named delay if it was refused and a third
// of the remaining time is longer, as the callers of the deployments do.
func (l *peakLoad) sendTwice(host netip.Addr, key, id string) {
	start := time.Now()
	status, after := l.sendOne(host, key, id, peakWait)
	left := peakWait - time.Since(start)
	if status == http.StatusServiceUnavailable && after < left/3 {
		time.Sleep(after)
		l.retried(key)
		status, _ = l.sendOne(host, key, id+"-again", left-after)
	}
	if status != http.StatusOK {
		l.unserved(key)
	}
}

func (l *peakLoad) retried(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key].retries++
}

func (l *peakLoad) unserved(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key].unserved++
}

// sendOne sends a request, counts its outcome and returns its status and the delay after
// which to retry.
func (l *peakLoad) sendOne(host netip.Addr, key, id string, wait time.Duration) (status int, retryAfter time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+netip.AddrPortFrom(host, callerAddr.Port()).String()+"/a/b", strings.NewReader("body"))
	if err != nil {
		l.r.t.Error(err)
		return 0, 0
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Id": id, "Wait": fmt.Sprint(wait.Milliseconds()), "Pieces": "1,8,16", "Key": key} {
		req.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := l.r.client.Do(req)
	if err == nil {
		status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			status = 0
		}
		resp.Body.Close()
		if after, err := time.ParseDuration(resp.Header.Get("Retry")); err == nil {
			retryAfter = after
		}
	}
	l.count(key, status, time.Since(start), retryAfter)
	return status, retryAfter
}

func (l *peakLoad) count(key string, status int, took, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[key]
	if c == nil {
		c = &peakCounts{}
		l.counts[key] = c
	}
	c.requests++
	switch {
	case status == http.StatusOK && took <= peakAim:
		c.onTime++
	case status == http.StatusOK:
		c.late++
	case status == http.StatusServiceUnavailable && took <= refusedWithin:
		c.refused++
		c.slowest = max(c.slowest, took)
		c.retryAfter = append(c.retryAfter, retryAfter)
	default:
		c.ended++
	}
}

// newPeakLoad starts hosts and returns a load for them.
func newPeakLoad(t *testing.T, admission stage.Admission) *peakLoad {
	r := newPeakFixture(t, admission)
	l := &peakLoad{r: r, addrs: r.startHosts(peakHosts), random: rand.New(rand.NewPCG(1, 0)), counts: map[string]*peakCounts{}}
	t.Cleanup(r.client.CloseIdleConnections)
	return l
}

// runPeak replays a peak of three times the capacity of the pools, in requests with three
// stages in a row, through many hosts.
func runPeak(t *testing.T, admission stage.Admission) (counts *peakCounts) {
	t.Run(string(admission), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := newPeakLoad(t, admission)
			l.send("", 0.5*peakRate, 4*time.Second)
			l.send("", 3*peakRate, 5*time.Second)
			l.send("", 0.5*peakRate, 4*time.Second)
			l.wg.Wait()
			counts = l.counts[""]
			t.Log(counts)
		})
	})
	return counts
}

// TestPeak replays a peak by the estimates of heartbeats, by which the first stage lets in
// what the later ones then end after seconds, with a status after which callers rarely
// retry, and by forecasts. With these, what is let in must be served, more of it on time,
// and a refusal must come at once.
func TestPeak(t *testing.T) {
	comparePeak(t, stage.ForecastAdmission, time.Duration(returnShare*float64(peakWait)))
}

// TestPeakOfReservations is TestPeak with reservations.
func TestPeakOfReservations(t *testing.T) {
	comparePeak(t, stage.ReservationAdmission, peakWait/retryAfterDivisor)
}

// comparePeak compares a peak with the given admission to one by estimates. No Retry-After may
// exceed longest.
func comparePeak(t *testing.T, admission stage.Admission, longest time.Duration) {
	before, after := runPeak(t, stage.EstimateAdmission), runPeak(t, admission)
	if before == nil || after == nil {
		return
	}
	if after.ended*100 > after.requests {
		t.Errorf("%d of %d requests ended after being let in, want at most one in a hundred", after.ended, after.requests)
	}
	// By estimates more of the peak is served late after it.
	if served, was := after.onTime+after.late, before.onTime+before.late; served*10 < was*9 || after.onTime < before.onTime || after.late > before.late {
		t.Errorf("%d requests served, %d of them on time; by estimates %d and %d", served, after.onTime, was, before.onTime)
	}
	if after.slowest > 50*time.Millisecond {
		t.Errorf("slowest refusal after %v", after.slowest)
	}
	slices.Sort(after.retryAfter)
	if n := len(after.retryAfter); n == 0 || after.retryAfter[n-1] > longest || after.retryAfter[n*9/10]-after.retryAfter[n/10] < 500*time.Millisecond {
		t.Errorf("refused callers are not spread: %v", after.retryAfter)
	}
}

// TestGreedyWorkspace has one workspace send most of an overload and retry each refused
// request at once, beside 15 small ones that together ask for less than half of the pools.
// Once the pools were shared by what each sent. The small ones must be served.
func TestGreedyWorkspace(t *testing.T) {
	const small, retries = 15, 5
	for _, admission := range admissions {
		t.Run(string(admission), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newGreedyLoad(t, admission, small)
				var senders sync.WaitGroup
				const duration = 8 * time.Second
				for i := range small {
					random := rand.New(rand.NewPCG(2, uint64(i)))
					senders.Go(func() {
						for range int(duration.Seconds()*0.4*peakRate) / small {
							time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) * small / (0.4 * peakRate)))
							host := l.addrs[random.IntN(len(l.addrs))]
							l.wg.Go(func() { l.sendOne(host, fmt.Sprint("k", i), fmt.Sprint("k", i, time.Now().UnixNano()), peakWait) })
						}
					})
				}
				for i := range int(duration.Seconds() * 1.6 * peakRate) {
					host := l.addrs[l.random.IntN(len(l.addrs))]
					l.wg.Go(func() {
						for k := range 1 + retries {
							if status, _ := l.sendOne(host, "big", fmt.Sprint("big", i, "-", k), peakWait); status != http.StatusServiceUnavailable {
								return
							}
						}
					})
					time.Sleep(time.Second * 10 / (16 * peakRate))
				}
				senders.Wait()
				l.wg.Wait()
				others, worst := &peakCounts{}, 1.0
				for key, c := range l.counts {
					if key == "big" {
						continue
					}
					others.requests, others.onTime, others.late = others.requests+c.requests, others.onTime+c.onTime, others.late+c.late
					others.refused, others.ended, others.slowest = others.refused+c.refused, others.ended+c.ended, max(others.slowest, c.slowest)
					worst = min(worst, float64(c.onTime+c.late)/float64(c.requests))
				}
				t.Logf("large workspace: %v", l.counts["big"])
				t.Logf("small workspaces: %v; the worst one was served %.2f", others, worst)
				if admission == stage.EstimateAdmission {
					return
				}
				if served := others.onTime + others.late; served*100 < others.requests*95 || worst < 0.85 {
					t.Errorf("%d of %d requests of small workspaces served, %.2f of the worst one", served, others.requests, worst)
				}
				// The large one gets what the small ones leave.
				if served := l.counts["big"].onTime + l.counts["big"].late; served < int(duration.Seconds()*0.6*peakRate*0.8) {
					t.Errorf("%d requests of the large workspace served", served)
				}
			})
		})
	}
}

// newGreedyLoad is newPeakLoad with the workspace "big" and small ones.
func newGreedyLoad(t *testing.T, admission stage.Admission, small int) *peakLoad {
	r := newPeakFixture(t, admission)
	r.feed.table.Workspaces = []*catalog.Workspace{{Name: "big", Keys: []string{"big"}}}
	for i := range small {
		r.feed.table.Workspaces = append(r.feed.table.Workspaces, &catalog.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("k", i)}})
	}
	l := &peakLoad{r: r, addrs: r.startHosts(peakHosts), random: rand.New(rand.NewPCG(1, 0)), counts: map[string]*peakCounts{}}
	t.Cleanup(r.client.CloseIdleConnections)
	return l
}

// TestBatcherLostInPeak kills the host that forms the calls of the scarcest pool in the
// middle of an overload. What was let in must be served nevertheless, but for the requests
// of the killed host's own callers.
func TestBatcherLostInPeak(t *testing.T) {
	for _, admission := range []stage.Admission{stage.ForecastAdmission, stage.ReservationAdmission} {
		t.Run(string(admission), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { loseBatcherInPeak(t, admission) })
		})
	}
}

func loseBatcherInPeak(t *testing.T, admission stage.Admission) {
	l := newPeakLoad(t, admission)
	var hosts []peer.Host
	for _, addr := range l.addrs {
		hosts = append(hosts, hostAt(netip.AddrPortFrom(addr, 82)))
	}
	holder := peer.NewMembers(hosts).Holder("c").Addr.Addr()
	l.addrs = slices.DeleteFunc(slices.Clone(l.addrs), func(a netip.Addr) bool { return a == holder })
	time.AfterFunc(2*time.Second, func() { l.r.network.Kill(holder) })
	l.send("", 1.5*peakRate, 6*time.Second)
	l.wg.Wait()
	c := l.counts[""]
	t.Log(c)
	if served := c.onTime + c.late; served < 6*peakRate*6/10 || c.ended*20 > c.requests {
		t.Errorf("%v", c)
	}
}
