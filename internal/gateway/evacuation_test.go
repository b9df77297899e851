package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// newDomainFixture is newFixture with targets in different failure domains.
func newDomainFixture(t *testing.T, routes []*catalog.Route, targets ...behaviour) *fixture {
	t.Helper()
	r := prepareFixture(t, routes, targets...)
	r.placeTargets(len(targets))
	r.start()
	return r
}

// evacuate evacuates failure domains and waits until the host knows.
func (r *fixture) evacuate(domains ...string) {
	for _, d := range domains {
		r.feed.evacuate(d, true)
	}
	time.Sleep(10 * time.Millisecond)
}

// arrivalsAt returns how many requests reached target i.
func (r *fixture) arrivalsAt(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, line := range r.received {
		if strings.HasPrefix(line, fmt.Sprintf("t%d ", i)) {
			n++
		}
	}
	return n
}

// TestEvacuatedDomainGetsNoRequest expects requests of every kind to go elsewhere while
// a failure domain is evacuated, a refusal at once that says when to come back while all
// are, and requests there again once it is put back.
func TestEvacuatedDomainGetsNoRequest(t *testing.T) {
	for _, c := range []struct {
		kind   catalog.Kind
		header []string
	}{{catalog.Safe, nil}, {catalog.Unsafe, nil}, {catalog.Stream, nil}, {catalog.Stream, []string{"Parts", "a,b,c"}}} {
		t.Run(fmt.Sprint(c.kind, c.header), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newDomainFixture(t, route(c.kind, nil), events("t", -1), events("t", -1))
				defer r.close()
				post := func(n int) {
					for range n {
						if got := r.post("/a/b", append(c.header, "Wait", "5000")...); got != fmt.Sprintf("200 signed t %q", wholeStream) {
							t.Error(got)
						}
					}
				}
				const requests = 10
				r.evacuate("d0")
				post(requests)
				if n := r.arrivalsAt(0); n != 0 {
					t.Errorf("%d requests in the evacuated failure domain", n)
				}
				r.evacuate("d1")
				start := time.Now()
				if got := r.post("/a/b", append(c.header, "Wait", "5000")...); got != "503" || time.Since(start) > 100*time.Millisecond || r.requestCount() != requests {
					t.Errorf("all evacuated: %s after %v, %d sends", got, time.Since(start), r.requestCount())
				}
				r.feed.evacuate("d0", false)
				time.Sleep(10 * time.Millisecond)
				post(requests)
				if n := r.arrivalsAt(0); n != requests {
					t.Errorf("%d requests after the failure domain was put back", n)
				}
			})
		})
	}
}

// TestEvacuationBeforeFirstByte evacuates the failure domain of the chosen target while
// the host connects to it. The request must not reach it, goes to another target, and
// counts as sent once. A check when the target is chosen is not enough.
func TestEvacuationBeforeFirstByte(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		synctest.Test(t, func(t *testing.T) {
			const connectTime = 100 * time.Millisecond
			r := newDomainFixture(t, route(kind, func(r *catalog.Route) { r.MaxTargets = 1 }), events("t", -1), events("t", -1))
			defer r.close()
			// The other failure domain comes first, so that the target is known.
			r.evacuate("d1")
			r.network.SetDelay(hostAddr, targetAddr(0).Addr(), connectTime)
			var got string
			var wg sync.WaitGroup
			wg.Go(func() { got = r.post("/a/b", "Wait", "5000") })
			time.Sleep(connectTime / 2)
			r.feed.evacuate("d1", false)
			r.evacuate("d0")
			wg.Wait()
			if got != fmt.Sprintf("200 signed t %q", wholeStream) || r.arrivalsAt(0) != 0 || r.arrivalsAt(1) != 1 {
				t.Errorf("%v: %s, requests %v", kind, got, r.received)
			}
			if n := metrics.GetOrRegisterCounter(stoppedCounter, r.host.Metrics).Count(); n != 1 {
				t.Errorf("%d sends stopped", n)
			}
			if n := metrics.GetOrRegisterCounter("Sends."+kind.String(), r.host.Metrics).Count(); n != 1 {
				t.Errorf("%v: %d sends counted", kind, n)
			}
		})
	}
}

// TestEvacuationBeforeTurn evacuates the failure domain of a target at which requests
// wait for their turns. Those that wait must not go there.
func TestEvacuationBeforeTurn(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limited := &limitedTarget{limit: 1}
				r := newDomainFixture(t, route(c.kind, nil), limited.serve)
				defer r.close()
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() { r.post("/a/b", append(c.header, "Id", fmt.Sprint("r", i), "Wait", "4000")...) })
					time.Sleep(100 * time.Millisecond)
				}
				evacuated := time.Now()
				r.evacuate("d0")
				known := time.Now()
				wg.Wait()
				time.Sleep(5 * time.Second)
				if n := limited.since(known); n != 0 || limited.since(evacuated.Add(-2*time.Second)) == 0 {
					t.Errorf("%d of %d requests after the evacuation", n, r.requestCount())
				}
			})
		})
	}
}

// TestEvacuationDuringStream evacuates the failure domain in which a stream runs. The
// stream goes on there; when it breaks, it is resumed in no evacuated failure domain.
func TestEvacuationDuringStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 500 * time.Millisecond
		var mu sync.Mutex
		first := true
		behave := func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			breaksLater := first
			first = false
			mu.Unlock()
			if !breaksLater {
				events("second", -1)(w, req)
				return
			}
			w.Header().Set("Signed", "first")
			for i := range 2 {
				fmt.Fprintf(w, "id: %d\n\n", i)
				http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
			panic(http.ErrAbortHandler)
		}
		r := newDomainFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), behave, behave, behave)
		defer r.close()
		time.AfterFunc(pause/2, func() {
			r.mu.Lock()
			at := int(r.received[0][1] - '0')
			r.mu.Unlock()
			// All but the last of the others.
			for i := range 3 {
				if i != (at+2)%3 {
					r.feed.evacuate(fmt.Sprint("d", i), true)
				}
			}
		})
		if diff := cmp.Diff(fmt.Sprintf("200 signed first %q", wholeStream), r.post("/a/b", "Wait", "9000")); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
		at := int(r.received[0][1] - '0')
		if len(r.received) != 2 || int(r.received[1][1]-'0') != (at+2)%3 {
			t.Errorf("sends %v", r.received)
		}
	})
}

// TestEvacuationBeforeRepeat evacuates a failure domain while a request runs elsewhere
// and fails. Its repeat must not go to the evacuated one.
func TestEvacuationBeforeRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowFailure := func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(200 * time.Millisecond)
			fails(w, req)
		}
		r := newDomainFixture(t, route(catalog.Safe, nil), slowFailure, slowFailure)
		defer r.close()
		time.AfterFunc(100*time.Millisecond, func() {
			r.feed.evacuate("d0", true)
			r.feed.evacuate("d1", true)
		})
		if got := r.post("/a/b", "Wait", "5000"); got != "500 signed t \"\"" || r.requestCount() != 1 {
			t.Errorf("%s, sends %v", got, r.received)
		}
	})
}

// TestEvacuationOfPool expects pieces to go to no evacuated failure domain, results
// there not to be freed, and a request whose stages have no other target to be refused
// at once.
func TestEvacuationOfPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDomainFixture(t, route(catalog.Stream, func(r *catalog.Route) {
			r.Aim = 5 * time.Second
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}}
		}), events("t", -1), events("t", -1), events("t", -1))
		defer r.close()
		var mu sync.Mutex
		var called []string
		r.pool.called = func(target string) { mu.Lock(); defer mu.Unlock(); called = append(called, target) }
		post := func() string { return r.post("/a/b", "Wait", "5000", "Pieces", "2") }
		r.evacuate("d0")
		for range 5 {
			if got := post(); !strings.HasPrefix(got, "200") {
				t.Error(got)
			}
		}
		mu.Lock()
		if slices.Contains(called, "p0") || len(called) != 5 {
			t.Errorf("calls to %v", called)
		}
		mu.Unlock()
		start := time.Now()
		r.evacuate("d1")
		if got := post(); got != "503" || time.Since(start) > 100*time.Millisecond {
			t.Errorf("all targets of the pool are evacuated: %s after %v", got, time.Since(start))
		}
	})
}

// TestNoStageForBarredService expects a request to be refused before any of its stages
// runs if every target that it goes to afterwards is evacuated: it could only end with
// 502 then.
func TestNoStageForBarredService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDomainFixture(t, route(catalog.Stream, func(r *catalog.Route) {
			r.Aim = 5 * time.Second
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}}
		}), events("t", -1))
		defer r.close()
		r.evacuate("d0")
		if got := r.post("/a/b", "Wait", "5000", "Pieces", "2"); got != "503" || len(r.pool.arrivals()) > 0 {
			t.Errorf("%s, %d calls to the pool", got, len(r.pool.arrivals()))
		}
	})
}

// TestPausedStreamInHomeRegion expects a resumable stream that pauses to be left alone
// while the only other target is outside its home regions: it can't go on there.
func TestPausedStreamInHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 5 * time.Second
		pauses := func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Signed", "t")
			io.WriteString(w, "id: 0\n\n")
			http.NewResponseController(w).Flush()
			if sleep(req.Context(), pause) == nil {
				io.WriteString(w, "id: 1\n\n")
			}
		}
		r := newDomainFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable, r.Regions = true, []string{"north"} }), pauses, events("t", -1))
		defer r.close()
		if got := r.post("/a/b", "Wait", "9000"); got != fmt.Sprintf("200 signed t %q", "id: 0\n\nid: 1\n\n") || r.arrivalsAt(1) != 0 {
			t.Errorf("%s, sends %v", got, r.received)
		}
	})
}

// TestHomeRegions expects requests and pieces to stay in the home regions of their route
// and workspace, and a refusal if these leave no target: both bind, and a region that no
// failure domain is in binds as well.
func TestHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name             string
		route, workspace []string
		want             string
		targets          []int
	}{
		{"none", nil, nil, "200", []int{0, 1, 2}},
		{"route", []string{"south"}, nil, "200", []int{1, 2}},
		{"workspace", nil, []string{"north"}, "200", []int{0}},
		{"both", []string{"south", "north"}, []string{"south"}, "200", []int{1, 2}},
		{"both without a common region", []string{"south"}, []string{"north"}, "503", nil},
		{"unknown", []string{"west"}, nil, "503", nil},
		{"one known", []string{"west", "north"}, nil, "200", []int{0}},
	} {
		for _, parts := range []string{"", "a,b,c"} {
			t.Run(c.name+" "+parts, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var mu sync.Mutex
					var called []string
					r := newDomainFixtureWithWorkspace(t, c.route, c.workspace)
					defer r.close()
					r.pool.called = func(target string) { mu.Lock(); defer mu.Unlock(); called = append(called, target) }
					var wg sync.WaitGroup
					for i := range 30 {
						wg.Go(func() {
							if got := r.post("/a/b", "Key", "k", "Id", fmt.Sprint("r", i), "Wait", "9000", "Pieces", "1", "Parts", parts); !strings.HasPrefix(got, c.want) {
								t.Errorf("request: %s, want %s", got, c.want)
							}
						})
						time.Sleep(10 * time.Millisecond)
					}
					wg.Wait()
					var reached []int
					for i := range 3 {
						if r.arrivalsAt(i) > 0 {
							reached = append(reached, i)
						}
						if i < 2 && slices.Contains(called, fmt.Sprint("p", i)) != slices.Contains(c.targets, i) {
							t.Errorf("pieces at %v", called)
						}
					}
					for _, i := range reached {
						if !slices.Contains(c.targets, i) {
							t.Errorf("requests at targets %v, want only %v", reached, c.targets)
						}
					}
					if len(reached) == 0 && len(c.targets) > 0 {
						t.Error("no request was sent")
					}
				})
			})
		}
	}
}

// newDomainFixtureWithWorkspace is newDomainFixture for streams with a stage, on a route
// and for a workspace with the given home regions.
func newDomainFixtureWithWorkspace(t *testing.T, routeRegions, workspaceRegions []string) *fixture {
	t.Helper()
	routes := route(catalog.Stream, func(r *catalog.Route) {
		r.Aim, r.Regions = 5*time.Second, routeRegions
		r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}}
	})
	r := prepareFixture(t, routes, events("t", -1), events("t", -1), events("t", -1))
	r.feed.table.Workspaces = []*catalog.Workspace{{Name: "w", Keys: []string{"k"}, Regions: workspaceRegions}}
	r.placeTargets(3)
	r.start()
	return r
}

// TestUnknownNamesAreLogged expects one warning for an evacuation of a failure domain
// that nothing names, and one for each home region that no failure domain is in, with the
// route or workspace and the version.
func TestUnknownNamesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := prepareFixture(t, route(catalog.Safe, func(r *catalog.Route) { r.Regions = []string{"west", "north"} }), respondsWith("x"))
		core, logs := observer.New(zap.WarnLevel)
		r.host.Log = zap.New(core)
		r.feed.table.Workspaces = []*catalog.Workspace{{Name: "w", Keys: []string{"k"}, Regions: []string{"east"}}}
		r.placeTargets(1)
		r.start()
		defer r.close()
		r.evacuate("d0", "elsewhere")
		r.feed.evacuate("d1", true)
		time.Sleep(time.Second)
		var got []string
		for _, e := range logs.All() {
			f := e.ContextMap()
			got = append(got, fmt.Sprintf("%s: %v %v, %v %v %v %v", e.Message, f["Domain"], f["Offset"], f["Region"], f["Route"], f["Workspace"], f["Version"]))
		}
		want := []string{
			"home region is unknown: <nil> <nil>, west r <nil> 1",
			"home region is unknown: <nil> <nil>, east <nil> w 1",
			"evacuated failure domain is unknown: elsewhere 2, <nil> <nil> <nil> <nil>",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("warnings (-want +got):\n%s", diff)
		}
	})
}

// TestStartDuringEvacuation expects a host that starts during an evacuation to be ready
// only once it knows of it.
func TestStartDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := prepareFixture(t, route(catalog.Safe, nil), respondsWith("x"))
		r.placeTargets(1)
		r.feed.evacuate("d0", true)
		r.feed.down.Store(true)
		r.start()
		defer r.close()
		if r.host.ready() {
			t.Error("ready before the operators' topic was read")
		}
		r.feed.down.Store(false)
		time.Sleep(2 * time.Second)
		if got := r.post("/a/b", "Wait", "5000"); !r.host.ready() || got != "503" || r.requestCount() != 0 {
			t.Errorf("ready %v, %s, sends %v", r.host.ready(), got, r.received)
		}
	})
}

// TestEvacuationUnknownToHolder guards against a holder that doesn't know of an
// evacuation yet and chooses targets in that failure domain: the sender names them among
// those that must not be chosen, so that the holder chooses another. Each of three hosts
// is once the only one that knows.
func TestEvacuationUnknownToHolder(t *testing.T) {
	ownChoices := 0
	for knows := range 3 {
		synctest.Test(t, func(t *testing.T) {
			r := prepareFixture(t, route(catalog.Stream, nil), events("t", -1), events("t", -1))
			r.placeTargets(2)
			informed := &testFeed{table: r.feed.table, targets: r.feed.targets}
			r.feeds = map[netip.Addr]*testFeed{testHostAddr(knows): informed}
			hosts := r.startHosts(3)
			informed.evacuate("d0", true)
			time.Sleep(100 * time.Millisecond)
			for i := range 30 {
				if got := r.postTo(hosts[knows], "/a/b", "Id", fmt.Sprint("r", i), "Wait", "5000", "Parts", fmt.Sprintf("a,b%d,c", i)); !strings.HasPrefix(got, "200") {
					t.Error(got)
				}
			}
			if n := r.arrivalsAt(0); n != 0 {
				t.Errorf("%d requests in the evacuated failure domain", n)
			}
			ownChoices += int(metrics.GetOrRegisterCounter("Placement.OwnChoices", r.hosts[knows].host.Metrics).Count())
			r.client.CloseIdleConnections()
		})
	}
	if ownChoices > 0 {
		t.Errorf("the holder's choice was not used %d times", ownChoices)
	}
}
