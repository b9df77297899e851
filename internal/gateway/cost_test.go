package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/placement"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

// TestPredictedOutput sends streams of 40 events with a hint of a tenth of their output,
// and expects the holder to learn the output from their ends. It guards against events
// that are not counted or not reported, and against classes that are not passed on: the
// other route's streams have a single event.
func TestPredictedOutput(t *testing.T) {
	const requests, events = 30, 40
	synctest.Test(t, func(t *testing.T) {
		routes := append(route(catalog.Stream, nil), route(catalog.Stream, func(r *catalog.Route) { r.Name, r.Prefix = "short", "/b/" })...)
		r := prepareFixture(t, routes, func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Signed", "t")
			n := 1
			if strings.HasPrefix(req.URL.Path, "/a/") {
				n = events
			}
			for i := range n {
				fmt.Fprintf(w, "id: %d\n\n", i)
			}
		})
		r.host.Placement.Holder.Policy = placement.WorkPolicy
		r.start()
		defer r.close()
		for i := range requests {
			for _, path := range []string{"/b/", "/a/"} {
				if got := r.post(fmt.Sprint(path, i), "Id", fmt.Sprint(path, i), "Wait", "8000", "Parts", "a,own", "Hint", "22"); !strings.HasPrefix(got, "200") {
					t.Fatal(got)
				}
			}
		}
		want := placement.OutputTokens(events)
		got := r.host.Metrics.Get("Placement.Output.Actual").(metrics.Histogram)
		if diff := cmp.Diff([]int64{2 * requests, int64(want)}, []int64{got.Count(), got.Max()}); diff != "" {
			t.Errorf("requests with an output, largest output (-want +got):\n%s", diff)
		}
		predicted := r.host.Metrics.Get("Placement.Output.Predicted").(metrics.Histogram).Max()
		if predicted < int64(want)*8/10 || predicted > int64(want)*12/10 {
			t.Errorf("largest predicted output is %d tokens, want about %d", predicted, want)
		}
	})
}
