package queue

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the cached wait estimates.
const (
	maxWaitEstimates = 4096
	// waitEstimateLifetime is the age after which an estimate is no longer used.
	waitEstimateLifetime = time.Second
)

// waitEstimateKey identifies a kind of request whose wait schedulers predict.
type waitEstimateKey struct {
	Pool, Stage, Pipeline, Workspace string
	Priority                         int
}

func waitEstimateKeyOf(a *SlotRequest) waitEstimateKey {
	return waitEstimateKey{Pool: a.Pool, Stage: a.Stage, Pipeline: a.Pipeline, Workspace: a.Workspace, Priority: a.Priority}
}

// WaitEstimate is what is known of a slot request before it is made.
type WaitEstimate struct {
	// Wait is the predicted time in the queue.
	Wait time.Duration
	// OverShare is true if the workspace is beyond its share of the queue.
	OverShare bool
	// FirstDecile is the first decile of the run times of such attempts, zero if
	// unknown.
	FirstDecile time.Duration
}

// cachedWaitEstimate is the wait that a scheduler predicted at a given time.
type cachedWaitEstimate struct {
	wait      time.Duration
	overShare bool
	at        time.Time
}

// recordWaitEstimate stores the wait that a scheduler predicted for the next request
// like a.
func (d *Dispatcher) recordWaitEstimate(a *SlotRequest, x decision) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waitEstimates == nil {
		d.waitEstimates, _ = lru.New[waitEstimateKey, cachedWaitEstimate](maxWaitEstimates) // fails only for a size below one
	}
	d.waitEstimates.Add(waitEstimateKeyOf(a), cachedWaitEstimate{wait: x.nextWait, overShare: x.overShare, at: now})
}

// EstimateWait returns what is known of a request like a. It depends on the
// priority of a, not on its deadline.
func (d *Dispatcher) EstimateWait(a *SlotRequest) WaitEstimate {
	now := d.Clock.Now()
	out := WaitEstimate{}
	if e := d.predictor.estimate(workKeyOf(a)); e.known() {
		out.FirstDecile = e.low()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waitEstimates == nil {
		return out
	}
	c, ok := d.waitEstimates.Get(waitEstimateKeyOf(a))
	if !ok || now.Sub(c.at) > waitEstimateLifetime {
		return out
	}
	out.Wait, out.OverShare = c.wait, c.overShare
	return out
}
