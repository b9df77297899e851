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

// TestExchange runs the scripts of testdata/exchange, each in its own synctest
// bubble. Their commands are those of cluster.command.
func TestExchange(t *testing.T) {
	datadriven.Walk(t, "testdata/exchange", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := &cluster{t: t, ctx: ctx}
			c.net.Delay = 500 * time.Microsecond
			defer cancel()
			defer c.stop()
			datadriven.RunTest(t, path, c.command)
		})
	})
}

// command runs one command of a script. The time limits in the scripts are the
// guarantees under test, not measured times.
func (c *cluster) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		for _, i := range c.args(d) {
			c.start(i)
		}
	case "kill":
		for _, i := range c.args(d) {
			c.kill(i)
		}
	case "leave":
		for _, i := range c.args(d) {
			c.nodes[i].Leave()
			time.Sleep(pollInterval)
			c.kill(i)
		}
	case "freeze":
		for _, i := range c.args(d) {
			c.nodes[i].clock.Suspend()
			c.nodes[i].alive = false
		}
	case "thaw":
		for _, i := range c.args(d) {
			c.nodes[i].clock.Resume()
			c.nodes[i].alive = true
		}
	case "partition", "heal":
		c.partition(c.args(d), d.Cmd == "partition")
	case "versions":
		return c.versions()
	case "sleep":
		time.Sleep(c.duration(d))
	case "agree-within":
		return c.within(c.duration(d), c.agree)
	case "count":
		return c.count(c.args(d))
	case "steady":
		return c.steady(c.duration(d), c.agree)
	case "never-below":
		least, err := strconv.Atoi(d.CmdArgs[1].Key)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		return c.steady(c.duration(d), func() bool { return c.each(func(n *node) bool { return len(n.Members().Hosts) >= least }) })
	case "cut":
		hosts := c.args(d)
		c.net.Cut(c.host(hosts[0]).Addr.Addr(), c.host(hosts[1]).Addr.Addr())
	case "note":
		i := c.args(d)[0]
		c.nodes[i].Spread(Note{Kind: CrashNote})
	case "notes-within":
		return c.within(c.duration(d), func() bool { return c.each(func(n *node) bool { return n.notes.Load() == 1 }) })
	case "offset":
		n := c.nodes[c.args(d)[0]]
		n.offset.Store(7)
		n.Announce()
	case "offset-within":
		return c.within(c.duration(d), func() bool { return c.each(func(n *node) bool { return n.offset.Load() == 7 }) })
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok\n"
}

func (c *cluster) each(ok func(*node) bool) bool {
	for _, n := range c.nodes {
		if n.alive && !ok(n) {
			return false
		}
	}
	return true
}

func (c *cluster) within(limit time.Duration, cond func() bool) string {
	if until(limit, cond) < limit || cond() {
		return "ok\n"
	}
	return fmt.Sprintf("not within %v\n", limit)
}

// steady reports whether cond holds at every poll for the duration limit.
func (c *cluster) steady(limit time.Duration, cond func() bool) string {
	broke := until(limit, func() bool { return !cond() })
	if broke < limit {
		return fmt.Sprintf("not after %v\n", broke)
	}
	return "ok\n"
}

// count returns the number of members that each host sees.
func (c *cluster) count(hosts []int) string {
	var out []string
	for _, i := range hosts {
		out = append(out, strconv.Itoa(len(c.nodes[i].Members().Hosts)))
	}
	return strings.Join(out, " ") + "\n"
}

// versions returns the highest version of any host's own entry. A version counts
// the suspicions that the host had to refute.
func (c *cluster) versions() string {
	highest := int64(0)
	for _, n := range c.nodes {
		n.do(func() { highest = max(highest, n.table.own().Version) })
	}
	return fmt.Sprintln(highest)
}

// partition cuts or heals every link between the given hosts and the others.
// Healing breaks the old connections, as their timeouts would have done.
func (c *cluster) partition(hosts []int, cut bool) {
	in := map[int]bool{}
	for _, i := range hosts {
		in[i] = true
	}
	var inside, outside []netip.Addr
	for i := range c.nodes {
		if addr := c.host(i).Addr.Addr(); in[i] {
			inside = append(inside, addr)
		} else {
			outside = append(outside, addr)
		}
	}
	if cut {
		c.net.Partition(inside, outside)
	} else {
		c.net.HealPartition(inside, outside)
	}
}

// args parses host numbers and ranges such as 0-7.
func (c *cluster) args(d *datadriven.TestData) []int {
	var out []int
	for _, a := range d.CmdArgs {
		from, to, isRange := strings.Cut(a.Key, "-")
		if !isRange {
			to = from
		}
		lo, err := strconv.Atoi(from)
		if err != nil {
			c.t.Fatalf("%s: %v", d.Pos, err)
		}
		hi, err := strconv.Atoi(to)
		if err != nil {
			c.t.Fatalf("%s: %v", d.Pos, err)
		}
		for i := lo; i <= hi; i++ {
			out = append(out, i)
		}
	}
	return out
}

func (c *cluster) duration(d *datadriven.TestData) time.Duration {
	v, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		c.t.Fatalf("%s: %v", d.Pos, err)
	}
	return v
}
