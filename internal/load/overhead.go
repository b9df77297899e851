package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Overhead compares the path through a host with calling a stand-in directly.
// Host and stand-in run in this process, so that the extra cost of the path
// through the host is that of the host. Exported fields are set before Do.
type Overhead struct {
	Net       link.Network
	Clock     *clock.Service
	Host      netip.AddrPort
	Target    netip.AddrPort
	Workspace string
	Pipeline  string
	// Stages is the number of stages of the pipeline; the direct path calls the
	// target as many times.
	Stages int
	// Rate is the arrivals per second on each path while latency is measured,
	// for Duration.
	Rate     float64
	Duration time.Duration
	// Requests is the number of requests on each path while processor time is
	// measured, sent by Workers concurrent workers in Rounds rounds.
	Requests int
	Workers  int
	Rounds   int
	Seed     uint64

	client      *http.Client
	directCalls atomic.Int64
}

// PathCost is the cost of one of the two paths.
type PathCost struct {
	Latency *hdrhistogram.Histogram `json:"-"`
	// Requests, CPU, Mallocs and Took are those of the closed loop that
	// measures processor time.
	Requests int
	CPU      time.Duration
	Mallocs  uint64
	Took     time.Duration
}

// Comparison is the result of an Overhead.
type Comparison struct {
	Seed   uint64
	Direct PathCost
	Host   PathCost
}

// AddedLatency is the latency that the host adds at percentile q.
func (c *Comparison) AddedLatency(q float64) time.Duration {
	return time.Duration(c.Host.Latency.ValueAtQuantile(q)-c.Direct.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// CPUPerRequest is the processor time that the host spends on a request.
func (c *Comparison) CPUPerRequest() time.Duration {
	return c.Host.cpuPerRequest() - c.Direct.cpuPerRequest()
}

func (w *PathCost) cpuPerRequest() time.Duration { return w.CPU / time.Duration(max(w.Requests, 1)) }

// RequestsPerCore is the number of requests per second that a host serves on
// one core.
func (c *Comparison) RequestsPerCore() float64 {
	if c.CPUPerRequest() <= 0 {
		return 0
	}
	return float64(time.Second) / float64(c.CPUPerRequest())
}

// MallocsPerRequest is the number of allocations that the host makes for a
// request.
func (c *Comparison) MallocsPerRequest() float64 {
	return float64(c.Host.Mallocs)/float64(max(c.Host.Requests, 1)) - float64(c.Direct.Mallocs)/float64(max(c.Direct.Requests, 1))
}

// Do runs the comparison.
func (o *Overhead) Do(ctx context.Context) (*Comparison, error) {
	if !o.Host.Addr().IsLoopback() || !o.Target.Addr().IsLoopback() {
		return nil, Error.New("%s or %s is not on loopback", o.Host, o.Target)
	}
	arrivals := Arrivals{Rate: 2 * o.Rate, Duration: o.Duration}
	if err := arrivals.check(); err != nil {
		return nil, err
	}
	transport := link.Transport(o.Net)
	transport.MaxIdleConnsPerHost = maxInFlight
	defer transport.CloseIdleConnections()
	o.client = &http.Client{Transport: transport}
	c := &Comparison{Seed: o.Seed, Direct: PathCost{Latency: newHistogram()}, Host: PathCost{Latency: newHistogram()}}
	if err := o.measureCost(ctx, c); err != nil {
		return nil, err
	}
	return c, o.measureLatency(ctx, c, &arrivals)
}

// measureLatency sends requests in an open loop, alternating between the paths.
func (o *Overhead) measureLatency(ctx context.Context, c *Comparison, arrivals *Arrivals) error {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxInFlight)
	start := o.Clock.Now()
	for i, after := range arrivals.draw(rand.New(rand.NewPCG(o.Seed, 1))) {
		due := start.Add(after)
		if err := o.Clock.Sleep(ctx, due.Sub(o.Clock.Now())); err != nil {
			return err
		}
		path, call := &c.Direct, o.callDirect
		if i%2 == 1 {
			path, call = &c.Host, o.callHost
		}
		g.Go(func() error {
			began := o.Clock.Now()
			err := call(ctx)
			mu.Lock()
			defer mu.Unlock()
			recordLatency(path.Latency, o.Clock.Since(began))
			return err
		})
	}
	return g.Wait()
}

// measureCost sends requests in a closed loop, alternating between the paths,
// and sums the processor time and allocations of each. The first round is a
// warm-up and is not counted.
func (o *Overhead) measureCost(ctx context.Context, c *Comparison) error {
	n := o.Requests / max(o.Rounds, 1)
	for round := range o.Rounds + 1 {
		for _, p := range []struct {
			cost *PathCost
			call func(context.Context) error
		}{{&c.Direct, o.callDirect}, {&c.Host, o.callHost}} {
			spent, err := o.runRound(ctx, n, p.call)
			if err != nil {
				return err
			}
			if round > 0 {
				p.cost.add(spent)
			}
		}
	}
	return nil
}

func (w *PathCost) add(o *PathCost) {
	w.Requests += o.Requests
	w.CPU += o.CPU
	w.Mallocs += o.Mallocs
	w.Took += o.Took
}

// runRound sends n requests from o.Workers concurrent workers.
func (o *Overhead) runRound(ctx context.Context, n int, call func(context.Context) error) (*PathCost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), o.Clock.Now()
	var left atomic.Int64
	left.Store(int64(n))
	var g errgroup.Group
	for range o.Workers {
		g.Go(func() error {
			for left.Add(-1) >= 0 {
				if err := call(ctx); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := g.Wait()
	w := &PathCost{Requests: n, CPU: cpuTime() - cpu, Took: o.Clock.Since(start)}
	runtime.ReadMemStats(&after)
	w.Mallocs = after.Mallocs - before.Mallocs
	return w, err
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// overheadText is the text of each request; it has the size of a short
// question.
const overheadText = "What is for lunch today without nuts, and what is left on my plan?"

func (o *Overhead) callDirect(ctx context.Context) error {
	input, err := json.Marshal(contract.Work{Text: overheadText})
	if err != nil {
		return err
	}
	for range max(o.Stages, 1) {
		id := fmt.Sprintf("direct-%d", o.directCalls.Add(1))
		body, err := json.Marshal(contract.Run{AttemptID: id, RequestID: id, Stage: "a", Input: input})
		if err != nil {
			return err
		}
		if err := o.post(ctx, "http://"+o.Target.String()+contract.RunPath, body); err != nil {
			return err
		}
	}
	return nil
}

func (o *Overhead) callHost(ctx context.Context) error {
	body, err := json.Marshal(contract.Work{Text: overheadText})
	if err != nil {
		return err
	}
	return o.post(ctx, "http://"+o.Host.String()+"/v1/workspaces/"+o.Workspace+"/pipelines/"+o.Pipeline, body)
}

func (o *Overhead) post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return Error.New("%s: %s: %s", url, resp.Status, text)
	}
	return nil
}

// Write writes c as text for a terminal.
func (c *Comparison) Write(w io.Writer) {
	fmt.Fprintf(w, "overhead of a host, seed %d\n", c.Seed)
	for _, q := range percentiles {
		fmt.Fprintf(w, "  p%-5g direct %8v  through a host %8v  added %8v\n", q,
			time.Duration(c.Direct.Latency.ValueAtQuantile(q))*time.Microsecond,
			time.Duration(c.Host.Latency.ValueAtQuantile(q))*time.Microsecond, c.AddedLatency(q))
	}
	fmt.Fprintf(w, "  requests %d on each path; processor time of the host %v per request, %.0f requests/s per core, %.0f allocations per request\n",
		c.Host.Requests, c.CPUPerRequest(), c.RequestsPerCore(), c.MallocsPerRequest())
}
