package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
)

func newQuotas() *backpressure.Holder {
	c := &clock.Service{}
	return &backpressure.Holder{Clock: c, Log: zap.NewNop(), Table: &backpressure.Table{Clock: c, Log: zap.NewNop()}, Hosts: func() int { return 1 }}
}

// fakeQuotas holds the waits at the targets that name limits.
type fakeQuotas map[string]time.Duration

func (q fakeQuotas) Limited(t *catalog.Target) bool {
	_, ok := q[t.ID]
	return ok
}

func (q fakeQuotas) Wait(t *catalog.Target) time.Duration { return q[t.ID] }

func (q fakeQuotas) Take(*catalog.Target) bool { return false }

// loadTableScript runs a script against one load table with a clock of its own.
//
//	policy Work
//	targets NAME[=DOMAIN] ...
//	ask ID [host=H] [parts=(ID:TOKENS,...)] [domain=D] [domains=(D,...)] [except=NAME] [maxwait=D]
//	    [route=R] [workspace=W] [hint=TOKENS] [max=TOKENS] [before=EVENTS]
//	begun|answered|failed|rejected|abandoned ID [host=H] [events=N]
//	heartbeat HOST [waiting=(ID,...)] [begun=(ID,...)] [events=(N,...)]
//	slowness
//	limited [NAME=WAIT ...]
//	wait D
type loadTableScript struct {
	table   *LoadTable
	quotas  fakeQuotas
	now     time.Time
	targets []*catalog.Target
}

func TestLoadTable(t *testing.T) {
	datadriven.Walk(t, "testdata/loadtable", func(t *testing.T, path string) {
		quotas := fakeQuotas{}
		s := &loadTableScript{table: NewLoadTable(quotas), quotas: quotas, now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *loadTableScript) run(t *testing.T, d *datadriven.TestData) string {
	host := "h"
	d.MaybeScanArgs(t, "host", &host)
	switch d.Cmd {
	case "policy":
		if d.CmdArgs[0].Key != string(WorkPolicy) {
			d.Fatalf(t, "unknown policy")
		}
		s.table.work = newWorkState()
	case "slowness":
		return s.slowness()
	case "targets":
		s.targets = nil
		for _, a := range d.CmdArgs {
			target := &catalog.Target{ID: a.Key, Slots: 4}
			if len(a.Vals) > 0 {
				target.Domain = a.Vals[0]
			}
			s.targets = append(s.targets, target)
		}
		s.table.Prune(s.targets)
	case "ask":
		return s.ask(t, d, host)
	case "begun", "answered", "failed", "rejected", "abandoned":
		progress := map[string]Progress{"begun": Begun, "answered": Answered, "failed": Failed, "rejected": Rejected, "abandoned": Abandoned}
		n := News{ID: d.CmdArgs[0].Key, Progress: progress[d.Cmd]}
		d.MaybeScanArgs(t, "events", &n.Events)
		s.table.Apply(&Report{Host: host, News: []News{n}}, s.now)
	case "limited":
		clear(s.quotas)
		for _, a := range d.CmdArgs {
			wait, err := time.ParseDuration(a.Vals[0])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			s.quotas[a.Key] = wait
		}
	case "heartbeat":
		return s.heartbeat(t, d)
	case "wait":
		pause, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(pause)
	default:
		d.Fatalf(t, "unknown command")
	}
	return "ok\n"
}

// heartbeat applies a heartbeat, which lists the host's requests if it names any.
func (s *loadTableScript) heartbeat(t *testing.T, d *datadriven.TestData) string {
	r := &Report{Host: d.CmdArgs[0].Key}
	if len(d.CmdArgs) > 1 {
		r.Open = &OpenRequests{}
		for _, a := range d.CmdArgs[1:] {
			switch a.Key {
			case "waiting":
				r.Open.Waiting = a.Vals
			case "begun":
				r.Open.Begun = a.Vals
			case "events":
				for _, v := range a.Vals {
					n := 0
					fmt.Sscan(v, &n)
					r.Open.Events = append(r.Open.Events, n)
				}
			default:
				d.Fatalf(t, "unknown list %s", a.Key)
			}
		}
	}
	return fmt.Sprintf("corrected %d\n", s.table.Apply(r, s.now))
}

func (s *loadTableScript) ask(t *testing.T, d *datadriven.TestData, host string) string {
	w := &Work{ID: d.CmdArgs[0].Key, Host: host}
	d.MaybeScanArgs(t, "domain", &w.Domain)
	d.MaybeScanArgs(t, "route", &w.Route)
	d.MaybeScanArgs(t, "workspace", &w.Workspace)
	d.MaybeScanArgs(t, "hint", &w.LengthHint)
	d.MaybeScanArgs(t, "max", &w.MaxOutput)
	d.MaybeScanArgs(t, "before", &w.EventsBefore)
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "except":
			w.Except = a.Vals
		case "domains":
			w.Domains = a.Vals
		case "maxwait":
			var err error
			if w.MaxWait, err = time.ParseDuration(a.Vals[0]); err != nil {
				d.Fatalf(t, "%v", err)
			}
		case "parts":
			for _, v := range a.Vals {
				id, tokens, _ := strings.Cut(v, ":")
				p := Part{ID: id}
				fmt.Sscan(tokens, &p.Tokens)
				w.Parts = append(w.Parts, p)
			}
		}
	}
	c := s.table.Choose(w, s.targets, s.now)
	if c.Target == "" {
		return "none\n"
	}
	if c.Wait > 0 {
		return fmt.Sprintf("%s after %v\n", c.Target, c.Wait)
	}
	out := fmt.Sprintf("%s: expected %v, reading %d, cached %d", c.Target, c.Expected.Round(time.Millisecond), c.Reading, c.Cached)
	if s.table.work != nil {
		out += fmt.Sprintf(", output %d to %d, work %v", c.Output, c.HighOutput, c.Work.Round(time.Millisecond))
	}
	return out + "\n"
}

// slowness returns the present and the lasting slowness of each target.
func (s *loadTableScript) slowness() string {
	var out strings.Builder
	for _, t := range s.targets {
		present, lasting := s.table.targetState(t).engineSlowness(s.now)
		fmt.Fprintf(&out, "%s: %.2f, lasting %.2f\n", t.ID, present, lasting)
	}
	return out.String()
}

// TestLoadTablePrunes expects a load table to keep nothing of requests that have
// ended and targets that are gone.
func TestLoadTablePrunes(t *testing.T) {
	lt, now := NewLoadTable(newQuotas()), time.Unix(1000, 0)
	targets := []*catalog.Target{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}}
	for i := range 1000 {
		id := fmt.Sprint(i)
		lt.Choose(&Work{ID: id, Host: "h", Parts: []Part{{ID: id, Tokens: 100}, {Tokens: 10}}}, targets, now)
		now = now.Add(time.Millisecond)
		lt.Apply(&Report{Host: "h", News: []News{{ID: id, Progress: Progress(i % 5)}, {ID: id, Progress: Answered}}}, now)
	}
	if len(lt.requests) != 0 {
		t.Errorf("%d requests are kept", len(lt.requests))
	}
	for id, s := range lt.targets {
		if len(s.requests) != 0 || s.pendingTokens != 0 {
			t.Errorf("target %s: %d requests with %v tokens are kept", id, len(s.requests), s.pendingTokens)
		}
	}
	lt.Prune(targets[:1])
	if len(lt.targets) != 1 {
		t.Errorf("%d targets are kept", len(lt.targets))
	}
}
