package peer

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestExchange runs the scripts of testdata/exchange, each in a bubble of its
// own. The commands are those of fleetCommand.
func TestExchange(t *testing.T) {
	datadriven.Walk(t, "testdata/exchange", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := &cluster{t: t, ctx: ctx}
			f.net.Delay = 500 * time.Microsecond
			defer cancel()
			defer f.stop()
			datadriven.RunTest(t, path, f.command)
		})
	})
}

// command runs one command of a script. Bounds in the scripts come from the
// promise that is tested, not from the time that was seen.
func (f *cluster) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		for _, i := range f.args(d) {
			f.start(i)
		}
	case "kill":
		for _, i := range f.args(d) {
			f.kill(i)
		}
	case "leave":
		for _, i := range f.args(d) {
			f.nodes[i].Leave()
			time.Sleep(pollInterval)
			f.kill(i)
		}
	case "freeze":
		for _, i := range f.args(d) {
			f.nodes[i].clock.Suspend()
			f.nodes[i].alive = false
		}
	case "thaw":
		for _, i := range f.args(d) {
			f.nodes[i].clock.Resume()
			f.nodes[i].alive = true
		}
	case "part", "join":
		f.partition(f.args(d), d.Cmd == "part")
	case "versions":
		return f.versions()
	case "sleep":
		time.Sleep(f.duration(d))
	case "agree-within":
		return f.within(f.duration(d), f.agree)
	case "count":
		return f.count(f.args(d))
	case "steady":
		return f.steady(f.duration(d), f.agree)
	case "never-below":
		least, err := strconv.Atoi(d.CmdArgs[1].Key)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		return f.steady(f.duration(d), func() bool { return f.each(func(n *node) bool { return len(n.Members().Hosts) >= least }) })
	case "cut":
		hosts := f.args(d)
		f.net.Cut(f.host(hosts[0]).Addr.Addr(), f.host(hosts[1]).Addr.Addr())
	case "note":
		i := f.args(d)[0]
		f.nodes[i].Spread(Note{Kind: CrashNote})
	case "notes-within":
		return f.within(f.duration(d), func() bool { return f.each(func(n *node) bool { return n.notes.Load() == 1 }) })
	case "offset":
		n := f.nodes[f.args(d)[0]]
		n.offset.Store(7)
		n.Announce()
	case "offset-within":
		return f.within(f.duration(d), func() bool { return f.each(func(n *node) bool { return n.offset.Load() == 7 }) })
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok\n"
}

func (f *cluster) each(ok func(*node) bool) bool {
	for _, n := range f.nodes {
		if n.alive && !ok(n) {
			return false
		}
	}
	return true
}

func (f *cluster) within(limit time.Duration, cond func() bool) string {
	if until(limit, cond) < limit || cond() {
		return "ok\n"
	}
	return fmt.Sprintf("not within %v\n", limit)
}

// steady reports whether cond holds whenever it is looked at for that long.
func (f *cluster) steady(limit time.Duration, cond func() bool) string {
	broke := until(limit, func() bool { return !cond() })
	if broke < limit {
		return fmt.Sprintf("not after %v\n", broke)
	}
	return "ok\n"
}

// count returns the numbers of members that the hosts see.
func (f *cluster) count(hosts []int) string {
	var out []string
	for _, i := range hosts {
		out = append(out, strconv.Itoa(len(f.nodes[i].Members().Hosts)))
	}
	return strings.Join(out, " ") + "\n"
}

// versions returns the highest version of any host's own row, which counts the
// suspicions that it had to refute.
func (f *cluster) versions() string {
	highest := int64(0)
	for _, n := range f.nodes {
		n.do(func() { highest = max(highest, n.table.own().Version) })
	}
	return fmt.Sprintln(highest)
}

// part cuts or heals every link between the named hosts and the others. Healing
// breaks the connections of before, as their timeouts would have done.
func (f *cluster) partition(hosts []int, cut bool) {
	in := map[int]bool{}
	for _, i := range hosts {
		in[i] = true
	}
	var inside, outside []netip.Addr
	for i := range f.nodes {
		if addr := f.host(i).Addr.Addr(); in[i] {
			inside = append(inside, addr)
		} else {
			outside = append(outside, addr)
		}
	}
	if cut {
		f.net.Partition(inside, outside)
	} else {
		f.net.HealPartition(inside, outside)
	}
}

// args reads host numbers and ranges such as 0-7.
func (f *cluster) args(d *datadriven.TestData) []int {
	var out []int
	for _, a := range d.CmdArgs {
		from, to, isRange := strings.Cut(a.Key, "-")
		if !isRange {
			to = from
		}
		lo, err := strconv.Atoi(from)
		if err != nil {
			f.t.Fatalf("%s: %v", d.Pos, err)
		}
		hi, err := strconv.Atoi(to)
		if err != nil {
			f.t.Fatalf("%s: %v", d.Pos, err)
		}
		for i := lo; i <= hi; i++ {
			out = append(out, i)
		}
	}
	return out
}

func (f *cluster) duration(d *datadriven.TestData) time.Duration {
	v, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		f.t.Fatalf("%s: %v", d.Pos, err)
	}
	return v
}
