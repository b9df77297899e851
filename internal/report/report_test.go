package report

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
)

// TestScripts runs the scripts of testdata, each in virtual time. Commands:
//
//	record host=H workspace=W pipeline=P [n=N] [code=C] [took=D] [stage=S cost=D extra=D]
//	wait for=D
//	take host=H (later reports use the host's report as of now)
//	report [hosts=H+H]
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, hosts: map[string]*Recorder{}, taken: map[string]*Host{}}
			datadriven.RunTest(t, path, s.run)
		})
	})
}

type script struct {
	t     *testing.T
	hosts map[string]*Recorder
	taken map[string]*Host
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "record":
		s.record(d)
		return ""
	case "wait":
		time.Sleep(duration(t, argument(s.t, d, "for", "0s")))
		return ""
	case "take":
		name := argument(t, d, "host", "h1")
		s.taken[name] = s.host(name).Host()
		return ""
	case "report":
		return s.report(d)
	default:
		d.Fatalf(t, "no command %q", d.Cmd)
		return ""
	}
}

func argument(t *testing.T, d *datadriven.TestData, key, value string) string {
	d.MaybeScanArgs(t, key, &value)
	return value
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (s *script) host(name string) *Recorder {
	if s.hosts[name] == nil {
		s.hosts[name] = &Recorder{Clock: &clock.Service{}, Name: name}
	}
	return s.hosts[name]
}

func (s *script) record(d *datadriven.TestData) {
	n, err := strconv.Atoi(argument(s.t, d, "n", "1"))
	if err != nil {
		d.Fatalf(s.t, "n: %v", err)
	}
	answer := &caller.Answer{Took: duration(s.t, argument(s.t, d, "took", "1s"))}
	if text := argument(s.t, d, "code", ""); text != "" {
		answer.Code = code(text)
	}
	if stage := argument(s.t, d, "stage", ""); stage != "" {
		answer.Stages = []caller.StageReport{{Stage: stage, Attempts: 1,
			Ran:   answer.Took,
			Cost:  duration(s.t, argument(s.t, d, "cost", "0s")),
			Extra: duration(s.t, argument(s.t, d, "extra", "0s"))}}
	}
	for range n {
		s.host(argument(s.t, d, "host", "h1")).Record(Outcome{
			Workspace: argument(s.t, d, "workspace", "W"),
			Pipeline:  argument(s.t, d, "pipeline", "P"),
			Objective: 0.9,
			Deadline:  2 * time.Second,
			Answer:    answer,
		})
	}
}

func code(name string) result.Code {
	for _, row := range result.Table {
		if row.Name == name {
			return row.Code
		}
	}
	panic("no code " + name)
}

func (s *script) report(d *datadriven.TestData) string {
	var hosts []*Host
	for _, name := range strings.Split(argument(s.t, d, "hosts", "h1"), "+") {
		h := s.taken[name]
		if h == nil {
			h = s.host(name).Host()
		}
		hosts = append(hosts, h)
	}
	var out bytes.Buffer
	sum := Summarize(hosts, nil)
	for _, l := range sum.Levels {
		fmt.Fprintf(&out, "%s/%s:", l.Workspace, l.Pipeline)
		for i, w := range l.Windows {
			fmt.Fprintf(&out, " %s %d/%d burn %.1f;", lengthText(windows[i].length), w.Good, w.Total, w.Burn)
		}
		fmt.Fprintf(&out, " left %.2f %s\n", l.BudgetLeft, l.Alert)
	}
	for _, st := range sum.Stages {
		fmt.Fprintf(&out, "%s/%s: %d cost %v share %.2f extra %v p50 %v\n",
			st.Pipeline, st.Stage, st.Requests, st.Cost, st.CostShare, st.Extra, st.RanP50.Round(100*time.Millisecond))
	}
	return out.String()
}

// TestSeriesAreBounded checks that workspaces beyond maxSeries share a series
// and that every request is counted.
func TestSeriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Recorder{Clock: &clock.Service{}}
		const extra = 10
		for i := range maxSeries + extra {
			r.Record(Outcome{Workspace: strconv.Itoa(i), Pipeline: "P", Deadline: time.Second, Answer: &caller.Answer{}})
		}
		h := r.Host()
		if diff := cmp.Diff(maxSeries+1, len(h.Levels)); diff != "" {
			t.Errorf("series (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(extra), h.Shared); diff != "" {
			t.Errorf("shared (-want +got):\n%s", diff)
		}
		var total int64
		for i := range h.Levels {
			total += h.Levels[i].Windows[0].Sum().Total
		}
		if diff := cmp.Diff(int64(maxSeries+extra), total); diff != "" {
			t.Errorf("requests counted (-want +got):\n%s", diff)
		}
	})
}

// TestPage checks that the page names every level and has its three plots, and
// that names are escaped.
func TestPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Recorder{Clock: &clock.Service{}, Name: "h1"}
		for _, name := range []string{"W1", "W<2>"} {
			r.Record(Outcome{Workspace: name, Pipeline: "P", Deadline: time.Second, Answer: &caller.Answer{
				Took: time.Millisecond, Stages: []caller.StageReport{{Stage: "Encode", Cost: time.Millisecond}}}})
		}
		var out bytes.Buffer
		if err := WritePage(&out, Summarize([]*Host{r.Host()}, []string{"10.0.0.9:80"})); err != nil {
			t.Fatal(err)
		}
		text := out.String()
		if diff := cmp.Diff(3, strings.Count(text, "<svg")); diff != "" {
			t.Errorf("plots (-want +got):\n%s", diff)
		}
		for _, want := range []string{"<td>W1</td>", "<td>W&lt;2&gt;</td>", "10.0.0.9:80", "Encode"} {
			if !strings.Contains(text, want) {
				t.Errorf("the page lacks %q", want)
			}
		}
		if strings.Contains(text, "<2>") {
			t.Error("a name in the page is not escaped")
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := &Recorder{Clock: &clock.Service{}}
	o := Outcome{Workspace: "W", Pipeline: "P", Deadline: time.Second, Answer: &caller.Answer{
		Stages: []caller.StageReport{{Stage: "a"}, {Stage: "b"}, {Stage: "c"}}}}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(o)
	}
}
