// Package fleet balances requests over the targets of a service. Its Balancer
// knows of each target what this host has sent there and how it ended: how many
// requests are open, how long answers took and which failed. It asks no target for
// its state.
package fleet

import (
	"math"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Weights, times and bounds of the choice.
const (
	// meanTimeWeight is the weight of the newest answer in a target's mean time,
	// failureWeight the weight of the newest outcome in its failure rate.
	meanTimeWeight = 0.2
	failureWeight  = 0.2
	// failureDecayTime is the time constant with which the failure rate decays: a
	// target that is hardly used has no other way back.
	failureDecayTime = 5 * time.Second
	// sameCauseTime is the time within which failures of a target count as one: what
	// resets its connections breaks all sends at once.
	sameCauseTime = 20 * time.Millisecond
	// pauseAfter is the number of consecutive failures after which a target is
	// paused for firstPause. Each further pause is twice as long, up to maxPause.
	pauseAfter = 2
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// failurePenalty weighs the failure rate against time: the cost of a target
	// that fails all requests is multiplied by 1 + failurePenalty.
	failurePenalty = 8
	// crossDomainPenalty is the factor on the cost of a target in another domain.
	crossDomainPenalty = 1.5
	// minMeanTime is the least mean time, also used for a target that has not
	// answered yet.
	minMeanTime = time.Millisecond
	// A target may have affinityLoadFactor times the mean number of open requests,
	// plus affinityLoadSlack, before requests with an affinity key go elsewhere.
	affinityLoadFactor = 1.5
	affinityLoadSlack  = 4
)

// Result is the result of a request at a target.
type Result int

// The results of requests.
const (
	// Answered means that the target completed the request.
	Answered Result = iota
	// Failed means that the target broke off, gave no answer or a wrong one.
	Failed
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Rejected means that the target had no capacity.
	Rejected
	// Abandoned means that the caller or the deadline ended the request.
	Abandoned
	// Returned means that the target did not run the request for a reason that says
	// nothing of the target, such as an input that was gone.
	Returned
)

var resultNames = [...]string{"answered", "failed", "unreachable", "rejected", "abandoned", "returned"}

// String returns the name of r for logs.
func (r Result) String() string { return resultNames[r] }

// Balancer chooses targets. Exported fields are set before the first call.
type Balancer struct {
	Clock *clock.Service
	Log   *zap.Logger
	// Domain is the failure domain of this host.
	Domain string

	mu           sync.Mutex
	targetStates map[string]*targetState
}

// targetState is the state kept of one incarnation of a target.
type targetState struct {
	born         int64
	openRequests int
	meanTime     time.Duration
	// failureRate is that at failureRateAt; it decays since.
	failureRate   float64
	failureRateAt time.Time
	failures      int
	// failedAt is the time of the last failure that counted.
	failedAt time.Time
	// pausedUntil is the end of the last pause; pauses counts consecutive pauses
	// after failures.
	pausedUntil time.Time
	pauses      int
	rejections  backpressure.Rejections
}

// Request is what the choice of a target needs to know of a request.
type Request struct {
	// AffinityKey, unless empty, identifies what a target may have cached: requests
	// with the same key go to the same target.
	AffinityKey string
	// Except holds the IDs of targets that were tried.
	Except map[string]bool
	// Domain is the failure domain of the request's inputs; empty means that of
	// this host.
	Domain string
}

// Choose returns the best of targets, or nil. A paused target is chosen only if no
// other is left.
func (b *Balancer) Choose(targets []*catalog.Target, req Request) *catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if t := b.choose(targets, req, func(s *targetState) bool { return !s.pausedUntil.After(now) }); t != nil {
		return t
	}
	return b.choose(targets, req, func(*targetState) bool { return true })
}

func (b *Balancer) choose(targets []*catalog.Target, req Request, usable func(*targetState) bool) *catalog.Target {
	var candidates []*catalog.Target
	for _, t := range targets {
		if !req.Except[t.ID] && usable(b.targetState(t)) {
			candidates = append(candidates, t)
		}
	}
	if req.AffinityKey != "" {
		return b.chooseByAffinity(candidates, req)
	}
	var best *catalog.Target
	var bestCost float64
	for _, t := range candidates {
		if cost := b.cost(t, req); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// Paused returns the IDs of those targets that are paused now.
func (b *Balancer) Paused(targets []*catalog.Target) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var out []string
	for _, t := range targets {
		if b.targetState(t).pausedUntil.After(now) {
			out = append(out, t.ID)
		}
	}
	return out
}

// cost returns the expected time of a request at t, in nanoseconds, with
// penalties.
func (b *Balancer) cost(t *catalog.Target, req Request) float64 {
	s := b.targetState(t)
	cost := float64(max(minMeanTime, s.meanTime)) * (1 + failurePenalty*s.failureRateNow(b.Clock.Now()))
	cost *= float64(s.openRequests+max(1, t.Slots)) / float64(max(1, t.Slots))
	if t.Domain != b.inputDomain(req) {
		cost *= crossDomainPenalty
	}
	return cost
}

func (b *Balancer) inputDomain(req Request) string {
	if req.Domain != "" {
		return req.Domain
	}
	return b.Domain
}

// chooseByAffinity returns the first target in the order of rendezvous weights
// that is not loaded far beyond the mean. A repeated prefill costs more than
// sending a request to another domain, so domains don't matter here.
func (b *Balancer) chooseByAffinity(candidates []*catalog.Target, req Request) *catalog.Target {
	total := 0
	for _, t := range candidates {
		total += b.targetState(t).openRequests
	}
	limit := affinityLoadFactor*float64(total)/float64(max(1, len(candidates))) + affinityLoadSlack
	var best, least *catalog.Target
	var bestWeight uint64
	for _, t := range candidates {
		s := b.targetState(t)
		if least == nil || s.openRequests < b.targetState(least).openRequests {
			least = t
		}
		w := peer.Weight(t.ID, req.AffinityKey)
		if float64(s.openRequests) <= limit && (best == nil || w > bestWeight) {
			best, bestWeight = t, w
		}
	}
	if best == nil {
		return least
	}
	return best
}

// targetState returns the state of t; b.mu is held.
func (b *Balancer) targetState(t *catalog.Target) *targetState {
	if b.targetStates == nil {
		b.targetStates = map[string]*targetState{}
	}
	s := b.targetStates[t.ID]
	if s == nil || s.born != t.Born {
		s = &targetState{born: t.Born}
		b.targetStates[t.ID] = s
	}
	return s
}

// Begin counts a request at t.
func (b *Balancer) Begin(t *catalog.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetState(t).openRequests++
}

// End records the result of a request at t. took is the time to the answer or to
// the first event.
func (b *Balancer) End(t *catalog.Target, r Result, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(t)
	s.openRequests = max(0, s.openRequests-1)
	now := b.Clock.Now()
	switch r {
	case Answered:
		s.rejections.Record(false, now)
		s.failures, s.pauses = 0, 0
		s.updateFailureRate(0, now)
		if s.meanTime == 0 {
			s.meanTime = took
		} else {
			s.meanTime += time.Duration(meanTimeWeight * float64(took-s.meanTime))
		}
	case Failed:
		if now.Sub(s.failedAt) < sameCauseTime {
			return
		}
		s.failedAt = now
		s.updateFailureRate(1, now)
		s.failures++
		if s.failures >= pauseAfter {
			b.pause(t, s, now)
		}
	case Unreachable:
		b.pause(t, s, now)
	case Rejected:
		if until := now.Add(s.rejections.Record(true, now)); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
}

// failureRateNow returns the decayed failure rate.
func (s *targetState) failureRateNow(now time.Time) float64 {
	return s.failureRate * math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
}

// updateFailureRate adds a failure (1) or a success (0) to the failure rate.
func (s *targetState) updateFailureRate(x float64, now time.Time) {
	rate := s.failureRateNow(now)
	s.failureRate, s.failureRateAt = rate+failureWeight*(x-rate), now
}

// pause pauses t, longer after each consecutive pause.
func (b *Balancer) pause(t *catalog.Target, s *targetState, now time.Time) {
	if s.pausedUntil.After(now.Add(firstPause / 2)) {
		return
	}
	d := min(maxPause, firstPause<<min(s.pauses, 8))
	s.pauses++
	s.pausedUntil = now.Add(d)
	b.Log.Info("target paused", zap.String("Target", t.ID), zap.Duration("For", d), zap.Int("Failures", s.failures), zap.Float64("FaultShare", s.failureRate))
}

// Prune removes the state of targets that are not in s and have no open requests.
func (b *Balancer) Prune(s *catalog.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.targetStates {
		if !s.Has(id) && st.openRequests == 0 {
			delete(b.targetStates, id)
		}
	}
}
