package experiment

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/queue"
)

var (
	experimentFlag = flag.String("experiment", "", "names of experiments to run and print, or all")
	seedFlag       = flag.Uint64("seed", 1, "seed of the arrivals")
	siteFlag       = flag.String("site", "", "the site to run, or empty for all")
	traceFlag      = flag.Duration("boards", 0, "print the state of the schedulers of one pool at this interval")
	failuresFlag   = flag.Bool("failures", false, "print the requests that were not answered on time")
	tracePoolFlag  = flag.String("board", "engine", "the pool whose schedulers are printed")
	policyFlag     = flag.String("policy", "", "policies to run, comma-separated; empty means all")
)

// runPolicy runs a load under one policy in a synctest bubble.
func runPolicy(t *testing.T, s *Site, l *Load, policy string, requests []Request) *Result {
	t.Helper()
	var out *Result
	synctest.Test(t, func(t *testing.T) {
		r := &Run{Site: s, Load: l, Policy: policy}
		if *traceFlag > 0 {
			r.Trace = func(at time.Duration) { printSchedulers(r, at) }
			r.TracePeriod = *traceFlag
		}
		samples, err := r.Do(t.Context(), requests)
		if err != nil {
			t.Fatal(err)
		}
		if *failuresFlag {
			printFailures(s, samples)
		}
		out = Measure(s, l, policy, samples)
	})
	return out
}

// printFailures prints the requests that were not answered on time.
func printFailures(s *Site, samples []Sample) {
	for _, m := range samples {
		if !m.OnTime {
			fmt.Printf("%v %s service %v took %v: %s: %+v\n", m.Request.At, s.Pipelines[m.Request.Pipeline].Name, m.Request.Service, m.Took, m.Message, m.Stages)
		}
	}
}

// printSchedulers prints the schedulers of the traced pool at their holders:
// the numbers of waiting short and long jobs, the typical time, and for each
// target held/slots(long)xspeed*ratio.
func printSchedulers(r *Run, at time.Duration) {
	for _, h := range r.hosts {
		for _, b := range h.host.Dispatcher.HeldSchedulers() {
			if b.Pool != *tracePoolFlag {
				continue
			}
			fmt.Printf("%v %s waiting %d+%d typical %v:", at, h.host.Settings.Name, b.WaitingShort, b.WaitingLong, b.Typical)
			for _, t := range b.Targets {
				fmt.Printf(" %d/%d(%d)x%.2f*%.2f", t.Held, t.Slots, t.HeldByLong, t.Speed, t.Ratio)
			}
			fmt.Println()
		}
	}
}

func policies() []string {
	if *policyFlag != "" {
		return strings.Split(*policyFlag, ",")
	}
	return queue.PolicyNames
}

// TestExperiment runs the named experiments under the bound and every policy,
// with the same arrivals, and prints their tables.
func TestExperiment(t *testing.T) {
	if *experimentFlag == "" {
		t.Skip("-experiment is not set")
	}
	for _, e := range Experiments(*seedFlag) {
		if *experimentFlag != "all" && !strings.Contains(","+*experimentFlag+",", ","+e.Load.Name+",") {
			continue
		}
		if *siteFlag != "" && *siteFlag != e.Site.Name {
			continue
		}
		start := time.Now()
		requests := e.Load.Requests(e.Site)
		results := []*Result{BestBound(e.Site, e.Load, requests)}
		for _, p := range policies() {
			results = append(results, runPolicy(t, e.Site, e.Load, p, requests))
		}
		t.Logf("%s at %s, seed %d, %d requests, %v", e.Load.Name, e.Site.Name, *seedFlag, len(requests), time.Since(start))
		Table(os.Stdout, results)
		last := results[len(results)-1]
		CostTable(os.Stdout, last)
		WorkspaceTable(os.Stdout, e.Site, last)
		fmt.Printf("share on time by second: %.2f\n", last.OnTimeBySecond)
	}
}

// TestPoliciesRun runs a short load under every policy; CI runs it with the race
// detector.
func TestPoliciesRun(t *testing.T) {
	s := SharedTable()
	l := &Load{Name: "short", Seed: 1, BaseRate: 0.3, PeakRate: 0.9, PeakFrom: time.Second, PeakTo: 2 * time.Second, End: 2 * time.Second, NoLong: true}
	for i := range s.Targets {
		s.Targets[i].Slots /= 4
	}
	requests := l.Requests(s)
	for _, p := range queue.PolicyNames {
		r := runPolicy(t, s, l, p, requests)
		if r.OnTime == 0 || r.Requests != len(requests) {
			t.Errorf("%s: %d of %d requests on time, %d sent", p, r.OnTime, r.Requests, len(requests))
		}
	}
}
