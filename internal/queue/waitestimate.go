package queue

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of what a host remembers of the queues' words.
const (
	maxWaitEstimates = 4096
	// outlookLimit is the age after which a queue's word is no longer used.
	waitEstimateLifetime = time.Second
)

// outlookKey names a kind of ask for which queues say how long it would wait.
type waitEstimateKey struct {
	Pool, Stage, Pipeline, Workspace string
	Priority                         int
}

func waitEstimateKeyOf(a *SlotRequest) waitEstimateKey {
	return waitEstimateKey{Pool: a.Pool, Stage: a.Stage, Pipeline: a.Pipeline, Workspace: a.Workspace, Priority: a.Priority}
}

// Outlook is what is known of an ask before it is made.
type WaitEstimate struct {
	// Wait is the predicted time in the queue.
	Wait time.Duration
	// Over says that the workspace is beyond its share of the queue.
	OverShare bool
	// Least is a time below which only one in ten such attempts stayed, zero if
	// unknown.
	FirstDecile time.Duration
}

type cachedWaitEstimate struct {
	wait      time.Duration
	overShare bool
	at        time.Time
}

// hear keeps the queue's word on the next ask of the kind of a.
func (d *Dispatcher) recordWaitEstimate(a *SlotRequest, x decision) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waitEstimates == nil {
		d.waitEstimates, _ = lru.New[waitEstimateKey, cachedWaitEstimate](maxWaitEstimates) // fails only for a size below one
	}
	d.waitEstimates.Add(waitEstimateKeyOf(a), cachedWaitEstimate{wait: x.nextWait, overShare: x.overShare, at: now})
}

// Outlook returns what is known of an ask like a. Its priority counts, its
// deadline does not.
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
	h, ok := d.waitEstimates.Get(waitEstimateKeyOf(a))
	if !ok || now.Sub(h.at) > waitEstimateLifetime {
		return out
	}
	out.Wait, out.OverShare = h.wait, h.overShare
	return out
}
