package queue

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
)

// schedulerScript runs a script against one scheduler with a simulated clock.
//
//	targets NAME=SLOTS ...
//	history kind=K work=D count=N   adds samples of a kind of work
//	ask ID [kind=K] [deadline=D] [priority=N] [workspace=W] [exclude=NAME] [owner=HOST]
//	done ID took=D|failed           ends an attempt
//	renew OWNER ID=TARGET ...       reports all slots that an owner holds
//	wait D                          advances the clock in ticks
//	show                            lists targets with leases, and waiting tickets;
//	                                also an argument of other commands
type schedulerScript struct {
	scheduler *scheduler
	now       time.Time
	out       []string
}

func TestScheduler(t *testing.T) {
	datadriven.Walk(t, "testdata/scheduler", func(t *testing.T, path string) {
		s := &schedulerScript{scheduler: newScheduler("P"), now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out = nil
			s.run(t, d)
			if len(s.out) == 0 {
				return "ok\n"
			}
			return strings.Join(s.out, "\n") + "\n"
		})
	})
}

func (s *schedulerScript) run(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "targets":
		s.targets(d)
	case "history":
		s.history(t, d)
	case "ask":
		s.ask(t, d)
	case "done":
		o := Outcome{Kind: Succeeded, Took: scanDuration(t, d, "took", 0)}
		if d.HasArg("failed") {
			o.Kind = Failed
		}
		s.scheduler.complete(d.CmdArgs[0].Key, o, s.now)
	case "renew":
		var held []HeldSlot
		for _, a := range d.CmdArgs[1:] {
			held = append(held, HeldSlot{Shard: shardKey{Pool: "P"}, AttemptID: a.Key, Target: a.Vals[0]})
		}
		s.scheduler.reconcileLeases(d.CmdArgs[0].Key, held, s.now)
	case "wait":
		s.wait(t, d)
	case "show":
	default:
		d.Fatalf(t, "unknown command")
	}
	if d.Cmd == "show" || d.HasArg("show") {
		s.show()
	}
}

func (s *schedulerScript) targets(d *datadriven.TestData) {
	var list []targetSlots
	for _, a := range d.CmdArgs {
		var n int
		fmt.Sscan(a.Vals[0], &n)
		list = append(list, targetSlots{target: &declaration.Target{Name: a.Key, Pool: "P", Slots: n}, slots: n})
	}
	s.scheduler.update(list)
}

func (s *schedulerScript) history(t *testing.T, d *datadriven.TestData) {
	kind, count := "", minSampleCount
	d.MaybeScanArgs(t, "kind", &kind)
	d.MaybeScanArgs(t, "count", &count)
	for range count {
		s.scheduler.predictor.add(workKey{Pool: "P", Stage: kind}, scanDuration(t, d, "work", 0).Seconds())
	}
}

func (s *schedulerScript) ask(t *testing.T, d *datadriven.TestData) {
	a := SlotRequest{AttemptID: d.CmdArgs[0].Key, Pool: "P", NothingRan: true}
	d.MaybeScanArgs(t, "kind", &a.Stage)
	d.MaybeScanArgs(t, "priority", &a.Priority)
	d.MaybeScanArgs(t, "workspace", &a.Workspace)
	exclude, owner := "", ""
	d.MaybeScanArgs(t, "exclude", &exclude)
	d.MaybeScanArgs(t, "owner", &owner)
	if exclude != "" {
		a.Exclude = []string{exclude}
	}
	a.Deadline = s.now.Add(scanDuration(t, d, "deadline", 10*time.Second))
	s.scheduler.enqueue(&ticket{request: a, owner: owner, deliver: func(x decision) { s.delivered(a.AttemptID, x) }}, s.now)
}

func (s *schedulerScript) delivered(id string, x decision) {
	if x.target != "" {
		s.out = append(s.out, fmt.Sprintf("%s: %s", id, x.target))
		return
	}
	s.out = append(s.out, fmt.Sprintf("%s: refused, %v, %s", id, x.code, x.message))
}

func (s *schedulerScript) wait(t *testing.T, d *datadriven.TestData) {
	left, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	for ; left > 0; left -= tickPeriod {
		s.now = s.now.Add(tickPeriod)
		s.scheduler.tick(s.now)
	}
}

func (s *schedulerScript) show() {
	for _, x := range s.scheduler.state().Targets {
		s.out = append(s.out, fmt.Sprintf("%s: %d of %d, long %d, ratio %.1f", x.Target, x.Held, x.Slots, x.HeldByLong, x.Ratio))
	}
	var ids []string
	for _, t := range append(append([]*ticket(nil), s.scheduler.shortQueue...), s.scheduler.longQueue...) {
		ids = append(ids, t.request.AttemptID)
	}
	sort.Strings(ids)
	s.out = append(s.out, fmt.Sprintf("waiting: %v", ids))
}

// scanDuration returns the duration of an argument, or otherwise if it is missing.
func scanDuration(t *testing.T, d *datadriven.TestData, name string, otherwise time.Duration) time.Duration {
	text := ""
	d.MaybeScanArgs(t, name, &text)
	if text == "" {
		return otherwise
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}
