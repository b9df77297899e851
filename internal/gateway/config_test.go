package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/stage"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

// TestStageThatNeedsALaterOne guards against stages that run in the order of their numbers:
// stage 0 needs stage 2, which needs stage 1.
func TestStageThatNeedsALaterOne(t *testing.T) {
	for _, admission := range []stage.Admission{stage.EstimateAdmission, stage.ForecastAdmission, stage.ReservationAdmission} {
		t.Run(string(admission), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var inputs string
				r := prepareFixture(t, route(catalog.Stream, func(r *catalog.Route) {
					r.Aim = 5 * time.Second
					r.Stages = []catalog.Stage{{Service: "p", After: []int{2}, ResultBytes: 10}, {Service: "p", ResultBytes: 10}, {Service: "p", After: []int{1}, ResultBytes: 10}}
				}), func(w http.ResponseWriter, req *http.Request) {
					inputs = req.Header.Get("Inputs")
					events("t", -1)(w, req)
				})
				r.admission = admission
				r.host = r.newHost(hostAddr, nil)
				r.start()
				defer r.close()
				if got := r.post("/a/b", "Wait", "5000", "Pieces", "1,2,1"); got != fmt.Sprintf("200 signed t %q", wholeStream) {
					t.Error(got)
				}
				if diff := cmp.Diff("h0.0", inputs); diff != "" {
					t.Errorf("inputs (-want +got):\n%s", diff)
				}
				time.Sleep(time.Second)
				r.pool.mu.Lock()
				defer r.pool.mu.Unlock()
				want := []string{"stage 1 piece 0 of []", "stage 1 piece 1 of []", "stage 2 piece 0 of [h1.0 h1.1]", "stage 0 piece 0 of [h2.0]"}
				if diff := cmp.Diff(want, r.pool.calls); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
				slices.Sort(r.pool.freed)
				if diff := cmp.Diff([]string{"h0.0", "h1.0", "h1.1", "h2.0"}, r.pool.freed); diff != "" {
					t.Errorf("freed (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestForecastOfRenumberedStages expects the forecast of a request not to depend on how its
// stages are numbered: a stage that needs a later one once would have started at once.
func TestForecastOfRenumberedStages(t *testing.T) {
	waits := []time.Duration{time.Second, 0, 100 * time.Millisecond}
	want := newChainPlan(10 * time.Second).forecastEnd(func(i int) time.Duration { return waits[i] })
	for _, numbers := range [][]int{{0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		p := newChainPlan(10 * time.Second)
		stages, pieces, renumberedWaits := make([]catalog.Stage, 3), make([]int, 3), make([]time.Duration, 3)
		for i, s := range p.q.route.Stages {
			to := numbers[i]
			for _, before := range s.After {
				stages[to].After = append(stages[to].After, numbers[before])
			}
			stages[to].Service, pieces[to], renumberedWaits[to] = s.Service, p.q.Pieces[i], waits[i]
		}
		p.q.route.Stages, p.q.Pieces = stages, pieces
		p.order = stageOrder(t, stages)
		if got := p.forecastEnd(func(i int) time.Duration { return renumberedWaits[i] }); got != want {
			t.Errorf("numbers %v: %v, want %v", numbers, got, want)
		}
	}
}

func stageOrder(t *testing.T, stages []catalog.Stage) []int {
	t.Helper()
	order, err := catalog.StageOrder(stages)
	if err != nil {
		t.Fatal(err)
	}
	return order
}

// TestInvalidPartsAreRefusedAlone expects requests of a route or workspace that can't be served
// to be refused at once, with a promise that they have not run, and others to be served. A key
// that is not valid is refused first.
func TestInvalidPartsAreRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := append(route(catalog.Safe, nil), &catalog.Route{Name: "bad", Host: "h.example", Prefix: "/bad/", Invalid: "stage 0 needs stage 1, which needs it in turn"})
		r := prepareFixture(t, routes, respondsWith("x"))
		r.feed.table.Workspaces = []*catalog.Workspace{{Name: "w", Keys: []string{"k"}}, {Name: "v", Keys: []string{"bad"}, Invalid: "field name can't be decoded"}}
		r.start()
		defer r.close()
		start := time.Now()
		got := []string{r.post("/bad/x", "Key", "k"), r.post("/bad/x", "Key", "withdrawn"), r.post("/a/x", "Key", "bad"), r.post("/a/x", "Key", "k")}
		if diff := cmp.Diff([]string{"503", "401", "503", `200 signed t "x"`}, got); diff != "" {
			t.Errorf("responses (-want +got):\n%s", diff)
		}
		if took := time.Since(start); took > 100*time.Millisecond || r.requestCount() != 1 {
			t.Errorf("took %v, %d requests reached targets", took, r.requestCount())
		}
		for _, name := range []string{invalidRouteCounter + "bad", invalidWorkspaceCounter + "v"} {
			if n := metrics.GetOrRegisterCounter(name, r.host.Metrics).Count(); n != 1 {
				t.Errorf("%s: %d refusals counted", name, n)
			}
		}
	})
}
