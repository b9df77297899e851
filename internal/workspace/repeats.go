package workspace

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// repeatBuckets is the number of buckets in the sliding window of a RepeatBudget.
const repeatBuckets = 10

// usableShare is the largest part of the budget that is spent. It is below one
// because the windows of the hosts are not aligned.
const usableShare = 0.7

// RepeatBudget is the retry budget for sends to each service, shared by all hosts:
// in any window the repeats of a service stay below Ratio times its requests plus
// Slack. Each host spends the part earned by its own requests and an equal part
// of the slack, so that no host has to ask another. Exported fields must be set
// before the first call.
type RepeatBudget struct {
	Clock  *clock.Service
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Hosts returns the number of hosts that share the budget. Hosts that are
	// partitioned from each other must not spend each other's part.
	Hosts func() int

	mu sync.Mutex // also guards Ratio and Slack after the first call
	// origin is the time from which buckets are counted.
	origin   time.Time
	services map[string]*repeatCounts
}

// repeatCounts counts the requests and repeats of one service by bucket.
type repeatCounts struct {
	bucket   int64
	requests [repeatBuckets]int
	repeats  [repeatBuckets]int
}

// SetLimit sets the ratio and the slack.
func (b *RepeatBudget) SetLimit(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
}

// CountRequest counts a caller's request for service.
func (b *RepeatBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.requests[c.bucket%repeatBuckets]++
}

// Take spends one repeat and reports whether the budget allowed it.
func (b *RepeatBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	if !b.allows(c) {
		return false
	}
	c.repeats[c.bucket%repeatBuckets]++
	return true
}

// Allows reports whether Take would allow a repeat now.
func (b *RepeatBudget) Allows(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.counts(service))
}

// allows reports whether the budget has room for a repeat beside those in c. The
// caller holds b.mu.
func (b *RepeatBudget) allows(c *repeatCounts) bool {
	requests, repeats := 0, 0
	for i := range repeatBuckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := usableShare * (b.Ratio*float64(requests) + b.Slack/float64(max(1, b.Hosts())))
	return float64(repeats+1) <= limit
}

// counts returns the counts of service, advanced to the current bucket. The
// caller holds b.mu.
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
	current := int64(b.Clock.Since(b.origin) / (b.Window / repeatBuckets))
	for skipped := 0; c.bucket < current && skipped < repeatBuckets; skipped++ {
		c.bucket++
		c.requests[c.bucket%repeatBuckets] = 0
		c.repeats[c.bucket%repeatBuckets] = 0
	}
	c.bucket = current
	return c
}
