package stage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestCalendar runs scripted loads of one pool. Commands:
//
//	busy TIME ...: the times until the targets are free
//	demand start=TIME end=TIME cost=TIME [n=COUNT]
//	ask start=TIME end=TIME cost=TIME [headroom=TIME] [n=COUNT]: asks COUNT times; what is
//	  granted becomes a demand
//	pass TIME: lets time pass; demands are met in the order of their ends
//	clear
func TestCalendar(t *testing.T) {
	datadriven.Walk(t, "testdata/calendar", func(t *testing.T, path string) {
		c, demands, busy := &calendar{}, []demand(nil), &busyTargets{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "busy":
				for _, arg := range d.CmdArgs {
					busy.add(parseTime(t, arg.Key))
				}
				return ""
			case "clear":
				demands, busy = nil, &busyTargets{}
				return ""
			case "demand":
				each, n := scanDemand(t, d)
				for range n {
					demands = append(demands, each)
				}
				return ""
			case "pass":
				demands = pass(demands, parseTime(t, d.CmdArgs[0].Key))
				return fmt.Sprintf("%d demands left\n", len(demands))
			case "ask":
				asked, n := scanDemand(t, d)
				return ask(c, &demands, busy, asked, scanTime(t, d, "headroom"), n)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// ask asks n times and describes the answers.
func ask(c *calendar, demands *[]demand, busy *busyTargets, asked demand, headroom time.Duration, n int) string {
	granted, wait := 0, time.Duration(0)
	for range n {
		w, ok := c.decide(*demands, busy, asked, headroom)
		if ok {
			granted++
			*demands = append(*demands, asked)
		}
		wait = max(wait, w)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d of %d granted", granted, n)
	if granted < n {
		fmt.Fprintf(&out, ", wait up to %v", wait)
	}
	return out.String() + "\n"
}

// pass lets d pass, in which the targets meet the demands that have started in the order
// of their ends.
func pass(demands []demand, d time.Duration) []demand {
	left := time.Duration(usableShare * float64(d))
	var out []demand
	for len(demands) > 0 {
		first := 0
		for i := range demands {
			if demands[i].end < demands[first].end {
				first = i
			}
		}
		one := demands[first]
		demands = append(demands[:first:first], demands[first+1:]...)
		if one.start < d {
			done := min(left, one.cost)
			left, one.cost = left-done, one.cost-done
		}
		if one.cost == 0 {
			continue
		}
		one.start, one.end = max(0, one.start-d), one.end-d
		out = append(out, one)
	}
	return out
}

func scanDemand(t *testing.T, d *datadriven.TestData) (demand, int) {
	n := 1
	d.MaybeScanArgs(t, "n", &n)
	return demand{start: scanTime(t, d, "start"), end: scanTime(t, d, "end"), cost: scanTime(t, d, "cost")}, n
}

// scanTime returns the time of the argument, or zero without it.
func scanTime(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	text := "0s"
	d.MaybeScanArgs(t, key, &text)
	return parseTime(t, text)
}

func parseTime(t *testing.T, text string) time.Duration {
	out, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
