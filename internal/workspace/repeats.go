package workspace

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// repeatSteps is the number of steps that the window of a Repeats is counted in.
const repeatBuckets = 10

// hostMemory is how long a host counts as one that shares the budget after it
// was last seen: hosts that are cut off from each other must not each spend the
// other's part.
const hostLifetime = time.Minute

// budgetMargin is the part of the budget that is spent at most; windows of
// hosts are not aligned.
const usableShare = 0.7

// Repeats is the budget of repeated sends to each service that all hosts share:
// in any window the repeats of a service stay under Ratio of its requests plus
// Slack. Each host spends its own requests' part and an equal part of the
// slack, so that no host has to ask another. Exported fields are set before the
// first call.
type RepeatBudget struct {
	Clock  *clock.Service
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Hosts returns the number of hosts that are believed alive.
	Hosts func() int

	mu sync.Mutex // also guards Ratio and Slack after the first call
	// origin is the time from which steps are counted.
	origin     time.Time
	services   map[string]*repeatCounts
	maxHosts   int
	maxHostsAt time.Time
}

// repeatCounts counts the requests and repeats of one service by step.
type repeatCounts struct {
	bucket   int64
	requests [repeatBuckets]int
	repeats  [repeatBuckets]int
}

// Limit sets the ratio and the slack.
func (b *RepeatBudget) SetLimit(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

// Request counts a request of a caller for service.
func (b *RepeatBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.requests[c.bucket%repeatBuckets]++
}

// Take spends one repeat and reports whether the budget had it.
func (b *RepeatBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	requests, repeats := 0, 0
	for i := range repeatBuckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := usableShare * (b.Ratio*float64(requests) + b.Slack/float64(b.recentMaxHosts()))
	if float64(repeats+1) > limit {
		return false
	}
	c.repeats[c.bucket%repeatBuckets]++
	return true
}

// hosts returns the largest number of hosts seen lately; b.mu is held.
func (b *RepeatBudget) recentMaxHosts() int {
	n, now := max(1, b.Hosts()), b.Clock.Now()
	if n >= b.maxHosts || now.Sub(b.maxHostsAt) > hostLifetime {
		b.maxHosts, b.maxHostsAt = n, now
	}
	return b.maxHosts
}

// counts returns the counts of service moved on to the present step; b.mu is
// held.
func (b *RepeatBudget) counts(service string) *repeatCounts {
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
	now := int64(b.Clock.Since(b.origin) / (b.Window / repeatBuckets))
	for skipped := 0; c.bucket < now && skipped < repeatBuckets; skipped++ {
		c.bucket++
		c.requests[c.bucket%repeatBuckets] = 0
		c.repeats[c.bucket%repeatBuckets] = 0
	}
	c.bucket = now
	return c
}
