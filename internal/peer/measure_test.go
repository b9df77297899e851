package peer

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// sizes lists the numbers of hosts to measure, such as 8,32,128,520.
var sizes = flag.String("sizes", "", "numbers of hosts that TestMeasure measures")

// The objectives of control traffic at the full size, for each host.
const (
	maxBytesPerSecond = 3000
	maxChangeDelay    = 5 * time.Second
	// maxFailureDelay is the time after a failure within which the members must be
	// correct again; work that a lost holder queued waits no longer than that.
	maxFailureDelay = 10 * time.Second
)

// TestControlTraffic checks the traffic and the delays of a cluster against the
// objectives.
func TestControlTraffic(t *testing.T) {
	const hosts = 64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(t, ctx, hosts)
		defer c.stop()
		m := c.measure()
		if m.bytes > maxBytesPerSecond {
			t.Errorf("a host sends %.0f bytes a second, more than %d", m.bytes, maxBytesPerSecond)
		}
		if m.change > maxChangeDelay {
			t.Errorf("a change took %v, more than %v", m.change, maxChangeDelay)
		}
		if m.killed > maxFailureDelay || m.domain > maxFailureDelay {
			t.Errorf("a kill was detected after %v, the loss of a failure domain after %v; more than %v", m.killed, m.domain, maxFailureDelay)
		}
	})
}

// TestMeasure prints a row for each number of hosts in -sizes.
func TestMeasure(t *testing.T) {
	if *sizes == "" {
		t.Skip("a measurement, run with -sizes=8,32,128,520")
	}
	fmt.Println("| hosts | bytes/s a host | core a host | heap a host | kill seen | restart seen | domain lost seen | domain back | change through peers |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	forSizes(t, func(c *cluster, n int) {
		m := c.measure()
		fmt.Printf("| %d | %.0f | %.3f%% | %.0f KB | %v | %v | %v | %v | %v |\n", n, m.bytes, 100*m.core, m.heap/1024, m.killed, m.restarted, m.domain, m.back, m.change)
	})
}

// forSizes calls measure with a cluster of each number of hosts in -sizes.
func forSizes(t *testing.T, measure func(c *cluster, n int)) {
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := newCluster(t, ctx, n)
			defer c.stop()
			measure(c, n)
		})
	}
}

// partitionTime is how long TestMeasureFaults cuts off a region.
var partitionTime = flag.Duration("parted", 5*time.Minute, "how long TestMeasureFaults cuts off a region from the others")

// TestMeasureFaults prints, for each number of hosts in -sizes, the cost of a
// day's failures within churnPeriod and of the partition of a region.
func TestMeasureFaults(t *testing.T) {
	if *sizes == "" {
		t.Skip("a measurement, run with -sizes=128,520")
	}
	fmt.Println("| hosts | day in 2 min: bytes/s a host | core a host | agree after | region cut off for | healed: agree after | least members seen in a region of |")
	fmt.Println("|---|---|---|---|---|---|---|")
	forSizes(t, func(c *cluster, n int) {
		sent, cpu := c.bytes.Load(), processTime()
		agreed := c.churn()
		bytes := float64(c.bytes.Load()-sent) / float64(n) / churnPeriod.Seconds()
		core := (processTime() - cpu).Seconds() / float64(n) / churnPeriod.Seconds()
		healed, least := c.partitionRegion(n / 3)
		fmt.Printf("| %d | %.0f | %.3f%% | %v | %v | %v | %d of %d |\n", n, bytes, 100*core, agreed, *partitionTime, healed, least, n/3)
	})
}

// A day's failures at the full size of 520 hosts, and the time into which they
// are compressed.
const (
	killsPerDay    = 43
	restartsPerDay = 280
	churnPeriod    = 2 * time.Minute
)

// churn runs a day's kills and restarts, scaled to the size of the cluster,
// within churnPeriod. It returns the time until all agree afterwards.
func (c *cluster) churn() time.Duration {
	events := (killsPerDay + restartsPerDay) * len(c.nodes) / 520
	for e := range events {
		i := (e * 37) % len(c.nodes)
		c.kill(i)
		time.Sleep(churnPeriod / time.Duration(events))
		if e%(events/killsPerDay+1) == 0 {
			// A failed host returns only after suspicionTimeout.
			time.Sleep(suspicionTimeout)
		}
		c.start(i)
	}
	return until(time.Minute, c.agree)
}

// partitionRegion cuts the first n hosts off from the rest and heals the
// partition. It returns the time until all agree and the fewest members that
// one of the n saw in that time.
func (c *cluster) partitionRegion(n int) (time.Duration, int) {
	hosts := make([]int, n)
	for i := range hosts {
		hosts[i] = i
	}
	c.partition(hosts, true)
	time.Sleep(*partitionTime)
	c.partition(hosts, false)
	least := n
	took := until(time.Minute, func() bool {
		for _, i := range hosts {
			least = min(least, len(c.nodes[i].Members().Hosts))
		}
		return c.agree()
	})
	return took, least
}

// measurement holds the results for one cluster.
type measurement struct {
	bytes, core, heap                       float64 // per host: bytes per second, share of a core, bytes
	killed, restarted, domain, back, change time.Duration
}

// newCluster starts n hosts and waits until they agree.
func newCluster(t *testing.T, ctx context.Context, n int) *cluster {
	c := &cluster{t: t, ctx: ctx}
	c.net.Delay = 500 * time.Microsecond
	for i := range n {
		c.start(i)
	}
	if took := until(time.Minute, c.agree); took >= time.Minute {
		t.Fatalf("%d hosts did not find each other within %v", n, took)
	}
	time.Sleep(idleTimeout)
	return c
}

// steadyPeriod is the virtual time over which traffic is counted.
const steadyPeriod = 30 * time.Second

func (c *cluster) measure() measurement {
	var m measurement
	n := float64(len(c.nodes))
	sent, cpu := c.bytes.Load(), processTime()
	time.Sleep(steadyPeriod)
	m.bytes = float64(c.bytes.Load()-sent) / n / steadyPeriod.Seconds()
	m.core = (processTime() - cpu).Seconds() / n / steadyPeriod.Seconds()
	m.heap = heap() / n
	m.change = c.changeDelay()
	last := len(c.nodes) - 1
	c.kill(last)
	m.killed = until(time.Minute, c.agree)
	c.start(last)
	m.restarted = until(time.Minute, c.agree)
	domain := c.domain(3)
	for _, i := range domain {
		c.kill(i)
	}
	m.domain = until(time.Minute, c.agree)
	for _, i := range domain {
		c.start(i)
	}
	m.back = until(time.Minute, c.agree)
	return m
}

// changeDelay returns the time that a new offset of one host takes to reach all.
func (c *cluster) changeDelay() time.Duration {
	n := c.nodes[len(c.nodes)/2]
	n.offset.Add(1)
	want := n.offset.Load()
	n.Announce()
	return until(time.Minute, func() bool {
		return c.each(func(n *node) bool { return n.offset.Load() >= want })
	})
}

// domain returns the hosts of failure domain d.
func (c *cluster) domain(d int) []int {
	var out []int
	for i := range c.nodes {
		if i%8 == d {
			out = append(out, i)
		}
	}
	return out
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of heap and stacks in use after a garbage collection.
func heap() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}
