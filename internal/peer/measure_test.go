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

// sizes asks TestMeasure for numbers of hosts, such as 8,32,128,520.
var sizes = flag.String("sizes", "", "numbers of hosts that TestMeasure measures")

// The targets of control at the full size, for each host.
const (
	maxBytesPerSecond = 3000
	maxChangeDelay    = 5 * time.Second
	// maxFailureDelay is the time for the members of a holder's list to be right
	// again; work that a lost holder queued waits no longer than that.
	maxFailureDelay = 10 * time.Second
)

// TestControlTraffic holds the bytes and the delays of a fleet to the targets.
func TestControlTraffic(t *testing.T) {
	const hosts = 64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newCluster(t, ctx, hosts)
		defer f.stop()
		m := f.measure()
		if m.bytes > maxBytesPerSecond {
			t.Errorf("a host sends %.0f bytes a second, more than %d", m.bytes, maxBytesPerSecond)
		}
		if m.change > maxChangeDelay {
			t.Errorf("a change took %v, more than %v", m.change, maxChangeDelay)
		}
		if m.killed > maxFailureDelay || m.domain > maxFailureDelay {
			t.Errorf("a kill was seen after %v, the loss of a domain after %v; more than %v", m.killed, m.domain, maxFailureDelay)
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
	forSizes(t, func(f *cluster, n int) {
		m := f.measure()
		fmt.Printf("| %d | %.0f | %.3f%% | %.0f KB | %v | %v | %v | %v | %v |\n", n, m.bytes, 100*m.core, m.heap/1024, m.killed, m.restarted, m.domain, m.back, m.change)
	})
}

// forSizes calls measure with a fleet of each number of hosts in -sizes.
func forSizes(t *testing.T, measure func(f *cluster, n int)) {
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newCluster(t, ctx, n)
			defer f.stop()
			measure(f, n)
		})
	}
}

// parted is how long TestMeasureFaults parts a region.
var partitionTime = flag.Duration("parted", 5*time.Minute, "how long TestMeasureFaults parts a region from the others")

// TestMeasureFaults prints, for each number of hosts in -sizes, what a day's
// failures within two minutes and the parting of a region cost.
func TestMeasureFaults(t *testing.T) {
	if *sizes == "" {
		t.Skip("a measurement, run with -sizes=128,520")
	}
	fmt.Println("| hosts | day in 2 min: bytes/s a host | core a host | agree after | region parted | healed: agree after | least members seen in a region of |")
	fmt.Println("|---|---|---|---|---|---|---|")
	forSizes(t, func(f *cluster, n int) {
		sent, cpu := f.bytes.Load(), processTime()
		agreed := f.churn()
		bytes := float64(f.bytes.Load()-sent) / float64(n) / churnPeriod.Seconds()
		core := (processTime() - cpu).Seconds() / float64(n) / churnPeriod.Seconds()
		healed, least := f.partitionRegion(n / 3)
		fmt.Printf("| %d | %.0f | %.3f%% | %v | %v | %v | %d of %d |\n", n, bytes, 100*core, agreed, *partitionTime, healed, least, n/3)
	})
}

// A day's failures of the full size, and the time into which they are pressed.
const (
	killsPerDay    = 43
	restartsPerDay = 280
	churnPeriod    = 2 * time.Minute
)

// churn kills and restarts hosts at the rate of a day in churnPeriod, scaled to
// the fleet, and returns the time until all agree afterwards.
func (f *cluster) churn() time.Duration {
	events := (killsPerDay + restartsPerDay) * len(f.nodes) / 520
	for e := range events {
		i := (e * 37) % len(f.nodes)
		f.kill(i)
		time.Sleep(churnPeriod / time.Duration(events))
		if e%(events/killsPerDay+1) == 0 {
			// A failed host comes back only later.
			time.Sleep(suspicionTimeout)
		}
		f.start(i)
	}
	return until(time.Minute, f.agree)
}

// region parts the first n hosts from the rest, heals the cut and returns the
// time until all agree and the fewest members that one of the n saw meanwhile.
func (f *cluster) partitionRegion(n int) (time.Duration, int) {
	hosts := make([]int, n)
	for i := range hosts {
		hosts[i] = i
	}
	f.partition(hosts, true)
	time.Sleep(*partitionTime)
	f.partition(hosts, false)
	least := n
	took := until(time.Minute, func() bool {
		for _, i := range hosts {
			least = min(least, len(f.nodes[i].Members().Hosts))
		}
		return f.agree()
	})
	return took, least
}

// figures is what one fleet showed.
type measurement struct {
	bytes, core, heap                       float64 // a second, share of a core and bytes, for each host
	killed, restarted, domain, back, change time.Duration
}

// newFleet starts n hosts and waits until they agree.
func newCluster(t *testing.T, ctx context.Context, n int) *cluster {
	f := &cluster{t: t, ctx: ctx}
	f.net.Delay = 500 * time.Microsecond
	for i := range n {
		f.start(i)
	}
	if took := until(time.Minute, f.agree); took >= time.Minute {
		t.Fatalf("%d hosts did not find each other within %v", n, took)
	}
	time.Sleep(idleTimeout)
	return f
}

// steadyPeriod is the virtual time over which traffic is counted.
const steadyPeriod = 30 * time.Second

func (f *cluster) measure() measurement {
	var m measurement
	n := float64(len(f.nodes))
	sent, cpu := f.bytes.Load(), processTime()
	time.Sleep(steadyPeriod)
	m.bytes = float64(f.bytes.Load()-sent) / n / steadyPeriod.Seconds()
	m.core = (processTime() - cpu).Seconds() / n / steadyPeriod.Seconds()
	m.heap = heap() / n
	m.change = f.changeDelay()
	last := len(f.nodes) - 1
	f.kill(last)
	m.killed = until(time.Minute, f.agree)
	f.start(last)
	m.restarted = until(time.Minute, f.agree)
	domain := f.domain(3)
	for _, i := range domain {
		f.kill(i)
	}
	m.domain = until(time.Minute, f.agree)
	for _, i := range domain {
		f.start(i)
	}
	m.back = until(time.Minute, f.agree)
	return m
}

// changed returns the time that the offset of one host takes to reach all.
func (f *cluster) changeDelay() time.Duration {
	n := f.nodes[len(f.nodes)/2]
	n.offset.Add(1)
	want := n.offset.Load()
	n.Announce()
	return until(time.Minute, func() bool {
		return f.each(func(n *node) bool { return n.offset.Load() >= want })
	})
}

// domain returns the hosts of a failure domain.
func (f *cluster) domain(d int) []int {
	var out []int
	for i := range f.nodes {
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

// heap returns the bytes in use after a collection.
func heap() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}
