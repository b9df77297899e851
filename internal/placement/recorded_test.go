//go:build !race

package placement

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// recordedLength is the length of the recorded loads, in seconds.
const recordedLength = 18

// recordedLoad reads the requests of a recorded load and plays them twice, the first time as a
// warm-up. The first part of a prompt, which is common to many users, is the same both times.
// The others belong to conversations and differ, so that no more is cached than on a long day.
//
// The files are from logs of the product in front of simulated engines. A line is one request
// that was served, with its arrival in seconds, route, workspace, hint (0 if none), largest
// output, actual output, and the parts of its prompt as ID:TOKENS, the last one its own. Names
// are replaced by numbers. The target latencies are not recorded; half a second is assumed.
func recordedLoad(t *testing.T, name string) []*modelRequest {
	t.Helper()
	f, err := os.Open("testdata/recorded/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out, again []*modelRequest
	for s := bufio.NewScanner(f); s.Scan(); {
		r := &modelRequest{target: 0.5}
		var parts string
		w := &r.work
		if _, err := fmt.Sscan(s.Text(), &r.arrival, &w.Route, &w.Workspace, &w.LengthHint, &w.MaxOutput, &r.output, &parts); err != nil {
			t.Fatalf("%s: line %d: %v", name, len(out)+1, err)
		}
		w.ID, w.Host, w.Service = fmt.Sprint(len(out)), "h", "s"
		for _, part := range strings.Split(parts, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			p := Part{ID: id}
			if _, err := fmt.Sscan(tokens, &p.Tokens); err != nil {
				t.Fatalf("%s: line %d: %v", name, len(out)+1, err)
			}
			w.Parts = append(w.Parts, p)
		}
		out = append(out, r)
		later := *r
		later.arrival += recordedLength
		later.work.ID += "-again"
		later.work.Parts = slices.Clone(w.Parts)
		for i := range later.work.Parts[1:] {
			later.work.Parts[i+1].ID += "-again"
		}
		again = append(again, &later)
	}
	return append(out, again...)
}

// TestPoliciesOnRecordedLoads compares the policies on the loads of two customers, at the speeds
// of their engines, in calm seconds and in a peak. It guards against work that concentrates on
// few engines while nothing is pending, and against balance at the price of more prefill of
// shared parts. The logged figures are those of the design note.
func TestPoliciesOnRecordedLoads(t *testing.T) {
	first := modelLoad{name: "first", speeds: []float64{1, 1, 1.3}, figures: modelFigures{3.4e-3, 44_000, 366_000, 6}}
	second := modelLoad{name: "second", speeds: []float64{0.6, 1, 1.6}, figures: modelFigures{5.1e-3, 51_000, 389_000, 5}}
	for _, c := range []struct {
		load modelLoad
		// Seconds from to until of the file count.
		from, until float64
		// maxWork bounds the work of the busiest engine over the mean for Work.
		maxWork float64
	}{
		{first, 4, 13, 1.4},
		{first, 13, 17, 1.7},
		{second, 3, 10, 1.5},
		{second, 10, 17, 1.7},
	} {
		c.load.from, c.load.until = recordedLength+c.from, recordedLength+c.until
		t.Run(fmt.Sprintf("%s from %v s", c.load.name, c.from), func(t *testing.T) {
			results := map[Policy]modelResult{}
			for _, policy := range []Policy{WorkPolicy, PrefillPolicy, ""} {
				c.load.recorded = recordedLoad(t, c.load.name)
				results[policy] = runModel(t, c.load, policy)
			}
			work, prefill := results[WorkPolicy], results[PrefillPolicy]
			if work.work > c.maxWork {
				t.Errorf("busiest engine has %.2f of the mean work, want at most %.2f", work.work, c.maxWork)
			}
			if work.late > prefill.late+0.003 {
				t.Errorf("%.4f of the requests are late, %.4f with Prefill", work.late, prefill.late)
			}
			if work.cached < prefill.cached-0.01 {
				t.Errorf("%.3f of the shared tokens are cached, %.3f with Prefill", work.cached, prefill.cached)
			}
		})
	}
}
