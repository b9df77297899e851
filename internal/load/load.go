// Package load generates open-loop load for hosts and checks every answer.
//
// A Run draws arrivals and work from a seed, sends each request at its
// scheduled time whether or not earlier ones have been answered, and measures
// latency from that time. Each body carries a marker that must come back in its
// own answer and in no other. At the end, the run counts of the stand-in
// targets are compared with the answers. An Overhead compares the path through
// a host with direct calls to a stand-in, alternating between the two in the
// same run.
//
// Load is sent to loopback addresses only, and its duration and number of
// requests are limited.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Limits of a run.
const (
	MaxDuration = 10 * time.Minute
	MaxRequests = 1_000_000
	maxInFlight = 20_000
)

// Error is the error class of this package.
var Error = errs.Class("load")

// Run is one run of a load. Exported fields are set before Do.
type Run struct {
	Net   link.Network
	Clock *clock.Service
	// Hosts are the addresses at which the hosts serve callers, used in turn.
	Hosts []netip.AddrPort
	// Targets are the addresses of the stand-ins whose run counts are checked.
	Targets   []netip.AddrPort
	Workspace string
	Pipeline  string
	// Token authenticates the workspace; an empty one is not sent.
	Token string
	// Keys gives each request an idempotency key of its own.
	Keys bool
	// RepeatEvery sends each nth request a second time with the same key, to
	// another host; zero repeats none. It needs Keys.
	RepeatEvery int
	// Deadline is the time allowed for each request.
	Deadline time.Duration
	Arrivals Arrivals
	Work     Work
	Seed     uint64

	client  *http.Client
	mu      sync.Mutex
	summary *Summary
	sent    []*sentRequest
}

// sentRequest is a request and its answer.
type sentRequest struct {
	due    time.Time // scheduled send time
	marker string
	key    string
	long   bool
	host   netip.AddrPort
	body   []byte
	answer *caller.Answer // nil if none came
}

// Range and precision of the histograms, in microseconds.
const (
	minMicroseconds = 10
	maxMicroseconds = int64(MaxDuration / time.Microsecond)
	precisionDigits = 3
)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, precisionDigits)
}

// recordLatency adds d to h; a value outside its range counts as the nearest
// end.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

// Do sends the load and waits for the answers.
func (r *Run) Do(ctx context.Context) (*Summary, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	transport := link.Transport(r.Net)
	defer transport.CloseIdleConnections()
	r.client = &http.Client{Transport: transport}
	r.summary = &Summary{Seed: r.Seed, Short: newHistogram(), Long: newHistogram(), Codes: map[string]int{}}
	start := r.Clock.Now()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for i, s := range r.plan(start) {
		if r.Clock.Sleep(ctx, s.due.Sub(r.Clock.Now())) != nil {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.summary.Unsent++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.sendAndRepeat(ctx, i, s)
		})
	}
	wg.Wait()
	r.summary.Took = r.Clock.Since(start)
	return r.summary, r.compareRuns(ctx)
}

// check rejects addresses other than loopback and loads beyond the limits.
func (r *Run) check() error {
	if len(r.Hosts) == 0 {
		return Error.New("no host")
	}
	for _, addr := range append(append([]netip.AddrPort(nil), r.Hosts...), r.Targets...) {
		if !addr.Addr().IsLoopback() {
			return Error.New("%s is not on loopback", addr)
		}
	}
	if r.RepeatEvery > 0 && !r.Keys {
		return Error.New("repeats need keys")
	}
	return r.Arrivals.check()
}

// plan draws all requests in advance, independently of answers and timing.
func (r *Run) plan(start time.Time) []*sentRequest {
	rnd := rand.New(rand.NewPCG(r.Seed, 1))
	var all []*sentRequest
	for i, after := range r.Arrivals.draw(rnd) {
		s := &sentRequest{due: start.Add(after), marker: newMarker(r.Seed, i), host: r.Hosts[i%len(r.Hosts)]}
		s.body, s.long = r.Work.draw(rnd, s.marker)
		if r.Keys {
			key, err := uuid.NewV7()
			if err != nil {
				panic(err) // the machine's random source failed
			}
			s.key = key.String()
		}
		all = append(all, s)
	}
	return all
}

// sendAndRepeat sends s, and sends it again if RepeatEvery selects it.
func (r *Run) sendAndRepeat(ctx context.Context, i int, s *sentRequest) {
	r.send(ctx, s)
	if r.RepeatEvery == 0 || (i+1)%r.RepeatEvery != 0 {
		return
	}
	again := *s
	again.due = r.Clock.Now()
	again.host = r.Hosts[(i+1)%len(r.Hosts)]
	again.answer = nil
	r.send(ctx, &again)
}
