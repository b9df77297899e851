package backpressure

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
)

// holderScript runs a script against the holder of service s in virtual time.
//
//	hosts N
//	limit TARGET RATE|none [version=N]
//	lease HOST ... [hosts=N]
//	return HOST
//	take [targets=(TARGET,...)] [wait=D]
//	flood TARGET for=D [step=D]
//	sleep D
//	cold rate=N time=D factor=N [slack=N]
//	entry TARGET born=N seq=N [left=D]
//	respond TARGET left=D
//	putback DOMAIN
//	notice TARGET born=N seq=N left=D
//	left TARGET
//
// The arguments born and fresh of take and lease are the incarnation of the targets,
// and whether the hosts have just started.
type holderScript struct {
	holder   *Holder
	hosts    int
	version  int64
	snapshot *catalog.Snapshot
}

func TestHolder(t *testing.T) {
	datadriven.Walk(t, "testdata/holder", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &holderScript{hosts: 1, snapshot: &catalog.Snapshot{Targets: map[string][]*catalog.Target{}}}
			c := &clock.Service{}
			table := &Table{Clock: c, Log: zap.NewNop(), Catalog: func() *catalog.Snapshot { return s.snapshot }}
			s.holder = &Holder{Clock: c, Log: zap.NewNop(), Table: table, Hosts: func() int { return s.hosts }}
			datadriven.RunTest(t, path, s.run)
		})
	})
}

func (s *holderScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "hosts":
		fmt.Sscan(d.CmdArgs[0].Key, &s.hosts)
	case "limit":
		s.limit(t, d)
	case "lease", "return":
		hosts := 0
		d.MaybeScanArgs(t, "hosts", &hosts)
		for _, a := range d.CmdArgs {
			if a.Key != "hosts" && a.Key != "fresh" {
				s.holder.renew(&Renewal{Host: a.Key, Service: "s", Hosts: hosts, Fresh: d.HasArg("fresh"), Return: d.Cmd == "return"})
			}
		}
	case "take":
		return s.take(t, d)
	case "flood":
		return s.flood(t, d)
	case "sleep":
		time.Sleep(duration(t, d, d.CmdArgs[0].Key))
	default:
		return s.runCold(t, d)
	}
	return "ok\n"
}

// runCold runs the commands about cold targets.
func (s *holderScript) runCold(t *testing.T, d *datadriven.TestData) string {
	id, left := d.CmdArgs[0].Key, time.Duration(0)
	target := &catalog.Target{ID: id, Service: "s", Domain: "d", Born: 1}
	d.MaybeScanArgs(t, "born", &target.Born)
	d.MaybeScanArgs(t, "seq", &target.Sequence)
	if d.HasArg("left") {
		var v string
		d.ScanArgs(t, "left", &v)
		left = duration(t, d, v)
	}
	switch d.Cmd {
	case "cold":
		s.cold(t, d)
	case "entry":
		target.Cold = catalog.Cold{Known: d.HasArg("left"), Left: left}
		s.holder.Table.ObserveEntry(target)
		s.snapshot.Targets["s"] = append(s.snapshot.Targets["s"], target)
	case "respond":
		s.holder.Table.Observe(target, time.Now(), Signal{Cold: left})
	case "putback":
		s.holder.Table.MarkDomainCold(s.snapshot, id)
	case "notice":
		s.holder.Table.applyNotices([]ColdNotice{{Target: id, Service: "s", Born: target.Born, Sequence: target.Sequence, Left: left}})
	case "left":
		return fmt.Sprintln(s.holder.Table.ColdLeft(target))
	default:
		d.Fatalf(t, "unknown command")
	}
	return "ok\n"
}

// cold sets the cold rate and time of the service, and the bounds.
func (s *holderScript) cold(t *testing.T, d *datadriven.TestData) {
	service, bounds := &catalog.Service{Name: "s"}, ColdBounds{}
	var coldTime string
	d.ScanArgs(t, "rate", &service.ColdRate)
	d.ScanArgs(t, "time", &coldTime)
	service.ColdTime = duration(t, d, coldTime)
	d.ScanArgs(t, "factor", &bounds.Factor)
	d.MaybeScanArgs(t, "slack", &bounds.Slack)
	s.snapshot.Table = &catalog.Table{Services: map[string]*catalog.Service{"s": service}}
	s.holder.Table.SetColdBounds(bounds)
}

func duration(t *testing.T, d *datadriven.TestData, v string) time.Duration {
	x, err := time.ParseDuration(v)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return x
}

func (s *holderScript) limit(t *testing.T, d *datadriven.TestData) {
	s.version++
	u := Update{Target: d.CmdArgs[0].Key, Service: "s", Born: 1, Version: s.version}
	if rate := d.CmdArgs[1].Key; rate != "none" {
		u.Limited = true
		if _, err := fmt.Sscan(rate, &u.Limit); err != nil {
			d.Fatalf(t, "%v", err)
		}
	}
	s.holder.Table.Apply(u)
}

// take asks for a turn at targets, by default at target a.
func (s *holderScript) take(t *testing.T, d *datadriven.TestData) string {
	a := &Ask{Service: "s", Targets: []Candidate{{"a", 1}}}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "targets":
			a.Targets = nil
			for _, id := range arg.Vals {
				a.Targets = append(a.Targets, Candidate{id, 1})
			}
		case "wait":
			a.MaxWait = duration(t, d, arg.Vals[0])
		case "born":
			// Applied below, to all targets.
		default:
			d.Fatalf(t, "unknown argument %s", arg.Key)
		}
	}
	if d.HasArg("born") {
		for i := range a.Targets {
			d.ScanArgs(t, "born", &a.Targets[i].Born)
		}
	}
	g := s.holder.take(a)
	if g.Target == "" {
		return fmt.Sprintf("none for %v\n", g.Wait.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s after %v\n", g.Target, g.Wait.Round(time.Millisecond))
}

// flood asks again and again for a turn at a target, and renews the leases that the
// script has made. It tells how many turns there were in each second.
func (s *holderScript) flood(t *testing.T, d *datadriven.TestData) string {
	var total, step string
	d.ScanArgs(t, "for", &total)
	d.ScanArgs(t, "step", &step)
	var leases []string
	for host := range s.holder.service("s").leases {
		leases = append(leases, host)
	}
	start := time.Now()
	counts := make([]int, int(duration(t, d, total).Seconds()))
	for time.Since(start) < duration(t, d, total) {
		for _, host := range leases {
			s.holder.renew(&Renewal{Host: host, Service: "s"})
		}
		if g := s.holder.take(&Ask{Service: "s", Targets: []Candidate{{d.CmdArgs[0].Key, 1}}}); g.Target != "" {
			counts[int(time.Since(start).Seconds())]++
		}
		time.Sleep(duration(t, d, step))
	}
	return strings.Trim(fmt.Sprint(counts), "[]") + "\n"
}

// BenchmarkWait measures the wait at one target while 520 hosts lease their shares of
// the limits of 900 targets.
func BenchmarkWait(b *testing.B) {
	const hosts, targets = 520, 900
	c := &clock.Service{}
	h := &Holder{Clock: c, Log: zap.NewNop(), Table: &Table{Clock: c, Log: zap.NewNop()}, Hosts: func() int { return hosts }}
	var list []*catalog.Target
	for i := range targets {
		t := &catalog.Target{ID: fmt.Sprint("t", i), Service: "s", Born: 1}
		h.Table.Apply(Update{Target: t.ID, Service: "s", Born: 1, Version: 1, Limited: true, Limit: 2})
		list = append(list, t)
	}
	for i := range hosts {
		h.renew(&Renewal{Host: fmt.Sprint("h", i), Service: "s"})
	}
	for i := 0; b.Loop(); i++ {
		if i%targets == 0 {
			h.renew(&Renewal{Host: "h0", Service: "s"})
		}
		h.Wait(list[i%targets])
	}
}
