package workspace

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// repeatSteps is the number of steps that the window of a Repeats is counted in.
const repeatSteps = 10

// hostMemory is how long a host counts as one that shares the budget after it
// was last seen: hosts that are cut off from each other must not each spend the
// other's part.
const hostMemory = time.Minute

// budgetMargin is the part of the budget that is spent at most; windows of
// hosts are not aligned.
const budgetMargin = 0.7

// Repeats is the budget of repeated sends to each service that all hosts share:
// in any window the repeats of a service stay under Ratio of its requests plus
// Slack. Each host spends its own requests' part and an equal part of the
// slack, so that no host has to ask another. Exported fields are set before the
// first call.
type Repeats struct {
	Clock  *clock.Service
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Hosts returns the number of hosts that are believed alive.
	Hosts func() int

	mu sync.Mutex // also guards Ratio and Slack after the first call
	// origin is the time from which steps are counted.
	origin   time.Time
	services map[string]*repeatCounts
	most     int
	mostAt   time.Time
}

// repeatCounts counts the requests and repeats of one service by step.
type repeatCounts struct {
	step     int64
	requests [repeatSteps]int
	repeats  [repeatSteps]int
}

// Limit sets the ratio and the slack.
func (b *Repeats) Limit(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

// Request counts a request of a caller for service.
func (b *Repeats) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.requests[c.step%repeatSteps]++
}

// Take spends one repeat and reports whether the budget had it.
func (b *Repeats) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	requests, repeats := 0, 0
	for i := range repeatSteps {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := budgetMargin * (b.Ratio*float64(requests) + b.Slack/float64(b.hosts()))
	if float64(repeats+1) > limit {
		return false
	}
	c.repeats[c.step%repeatSteps]++
	return true
}

// hosts returns the largest number of hosts seen lately; b.mu is held.
func (b *Repeats) hosts() int {
	n, now := max(1, b.Hosts()), b.Clock.Now()
	if n >= b.most || now.Sub(b.mostAt) > hostMemory {
		b.most, b.mostAt = n, now
	}
	return b.most
}

// counts returns the counts of service moved on to the present step; b.mu is
// held.
func (b *Repeats) counts(service string) *repeatCounts {
	if b.services == nil {
		b.services = map[string]*repeatCounts{}
	}
	c := b.services[service]
	if c == nil {
		c = &repeatCounts{}
		b.services[service] = c
	}
	if b.origin.IsZero() {
		b.origin = b.Clock.Now()
	}
	now := int64(b.Clock.Since(b.origin) / (b.Window / repeatSteps))
	for skipped := 0; c.step < now && skipped < repeatSteps; skipped++ {
		c.step++
		c.requests[c.step%repeatSteps] = 0
		c.repeats[c.step%repeatSteps] = 0
	}
	c.step = now
	return c
}
