package experiment

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var shardsFlag = flag.Bool("shards", false, "measure a pool that has several shards")

// TestShards prints the messages that a pool of several shards costs, and its
// answers on time beside those of the bound, which has one queue.
func TestShards(t *testing.T) {
	if !*shardsFlag {
		t.Skip("-shards is not set")
	}
	s := Large()
	l := &Load{Name: "crest", Seed: *seedFlag, BaseRate: 0.45, PeakRate: 0.95, PeakFrom: 5 * time.Second, PeakTo: 10 * time.Second, End: 15 * time.Second}
	requests := l.Requests(s)
	bound := BestBound(s, l, requests)
	synctest.Test(t, func(t *testing.T) {
		r := &Run{Site: s, Load: l, Policy: "SharedQueue"}
		start := time.Now()
		samples, err := r.Do(t.Context(), requests)
		if err != nil {
			t.Fatal(err)
		}
		took := time.Since(start).Seconds()
		result := Measure(s, l, r.Policy, samples)
		var asked, reports, lists, holders float64
		for _, h := range r.hosts {
			d := h.host.Dispatcher
			asked += float64(d.Stats.Asked.Count())
			reports += float64(d.Stats.Reports.Count())
			lists += float64(d.Stats.Lists.Count())
			holders += float64(d.Holders())
		}
		n := float64(len(r.hosts))
		fmt.Println("| requests | peak on time | bound | short p99 | bound | holders/host | asked/s/host | reports/s/host | lists/s/host |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|")
		fmt.Printf("| %d | %d of %d | %d | %v | %v | %.1f | %.1f | %.1f | %.2f |\n", result.Requests, result.PeakOnTime, result.PeakRequests, bound.PeakOnTime,
			result.ShortP99, bound.ShortP99, holders/n, asked/n/took, reports/n/took, lists/n/took)
	})
}
