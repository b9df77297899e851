// Package fleet chooses the target of a request among those of a service. It
// knows of each target what this host has sent there and what came of it: how
// many requests are open, how long answers took and which failed. It asks no
// target for its state.
package fleet

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Weights and times of the choice.
const (
	// tookWeight is the weight of the newest answer in a target's mean time,
	// faultWeight that in its share of failures.
	meanTimeWeight = 0.2
	failureWeight  = 0.2
	// pauseAfter is the number of failures in a row after which a target gets
	// nothing for firstPause, doubled by each further one up to maxPause.
	pauseAfter = 2
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// rejectPause is how long a target that had no place is passed over.
	rejectPause = 60 * time.Millisecond
	// faultCost weighs the share of failures against time: a target that fails
	// all requests counts as 1 + faultCost times as slow.
	failurePenalty = 8
	// domainCost is how much slower a target of another domain counts.
	crossDomainPenalty = 1.5
	// leastTook stands in for the time of a target that has not answered yet.
	minMeanTime = time.Millisecond
	// homeLoad is how many times the mean load the home target of a prompt may
	// have, homeSlack what it may have besides.
	affinityLoadFactor = 1.5
	affinityLoadSlack  = 4
)

// Result says what became of a request at a target.
type Result int

// The results.
const (
	// Answered means that the target did its work.
	Answered Result = iota
	// Failed means that it broke off, gave no answer or a wrong one.
	Failed
	// Unreachable means that it took no connection.
	Unreachable
	// Rejected means that it had no place.
	Rejected
	// Abandoned means that the caller or the deadline ended the request.
	Abandoned
)

var resultNames = [...]string{"answered", "failed", "unreachable", "rejected", "abandoned"}

// String returns the name of r for logs.
func (r Result) String() string { return resultNames[r] }

// Fleet chooses targets. Exported fields are set before the first call.
type Balancer struct {
	Clock *clock.Service
	Log   *zap.Logger
	// Domain is the failure domain of this host.
	Domain string

	mu           sync.Mutex
	targetStates map[string]*targetState
}

// state is what is known of one life of a target.
type targetState struct {
	born        int64
	open        int
	meanTime    time.Duration
	failureRate float64
	failures    int
	// pausedUntil keeps the target out; pauses counts those in a row.
	pausedUntil time.Time
	pauses      int
}

// Want describes the request that a target is chosen for.
type Want struct {
	// Home, unless empty, names what the target may have cached: requests of the
	// same Home go to the same target.
	AffinityKey string
	// Except are the IDs of targets that were tried.
	Except map[string]bool
	// Domain is where the request's inputs lie; empty means with this host.
	Domain string
}

// Choose returns the best of targets, or nil. A paused target is chosen only
// when no other is left.
func (b *Balancer) Choose(targets []*catalog.Target, want Want) *catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if t := b.choose(targets, want, func(s *targetState) bool { return !s.pausedUntil.After(now) }); t != nil {
		return t
	}
	return b.choose(targets, want, func(*targetState) bool { return true })
}

func (b *Balancer) choose(targets []*catalog.Target, want Want, usable func(*targetState) bool) *catalog.Target {
	var open []*catalog.Target
	for _, t := range targets {
		if !want.Except[t.ID] && usable(b.targetState(t)) {
			open = append(open, t)
		}
	}
	if want.AffinityKey != "" {
		return b.chooseByAffinity(open, want)
	}
	var best *catalog.Target
	var bestCost float64
	for _, t := range open {
		if cost := b.cost(t, want); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// Paused returns those of targets that this host passes over now.
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

// cost is the expected time of a request at t, in nanoseconds.
func (b *Balancer) cost(t *catalog.Target, want Want) float64 {
	s := b.targetState(t)
	cost := float64(max(minMeanTime, s.meanTime)) * (1 + failurePenalty*s.failureRate)
	cost *= float64(s.open+max(1, t.Slots)) / float64(max(1, t.Slots))
	if t.Domain != b.inputDomain(want) {
		cost *= crossDomainPenalty
	}
	return cost
}

func (b *Balancer) inputDomain(want Want) string {
	if want.Domain != "" {
		return want.Domain
	}
	return b.Domain
}

// home returns the first target in the order of rendezvous weights that is not
// loaded far beyond the mean. Reading a prompt again costs more than carrying a
// request to another domain, so that domains don't matter here.
func (b *Balancer) chooseByAffinity(open []*catalog.Target, want Want) *catalog.Target {
	total := 0
	for _, t := range open {
		total += b.targetState(t).open
	}
	limit := affinityLoadFactor*float64(total)/float64(max(1, len(open))) + affinityLoadSlack
	var best, least *catalog.Target
	var bestWeight uint64
	for _, t := range open {
		s := b.targetState(t)
		if least == nil || s.open < b.targetState(least).open {
			least = t
		}
		w := peer.Weight(t.ID, want.AffinityKey)
		if float64(s.open) <= limit && (best == nil || w > bestWeight) {
			best, bestWeight = t, w
		}
	}
	if best == nil {
		return least
	}
	return best
}

// state returns what is known of t; f.mu is held.
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

// Begin notes a request at t.
func (b *Balancer) Begin(t *catalog.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetState(t).open++
}

// End notes what became of a request at t. Took is the time to the answer, or
// to the first event.
func (b *Balancer) End(t *catalog.Target, r Result, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(t)
	s.open = max(0, s.open-1)
	now := b.Clock.Now()
	switch r {
	case Answered:
		s.failures, s.pauses = 0, 0
		s.failureRate -= failureWeight * s.failureRate
		if s.meanTime == 0 {
			s.meanTime = took
		} else {
			s.meanTime += time.Duration(meanTimeWeight * float64(took-s.meanTime))
		}
	case Failed:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.failures++
		if s.failures >= pauseAfter {
			b.pause(t, s, now)
		}
	case Unreachable:
		b.pause(t, s, now)
	case Rejected:
		if until := now.Add(rejectPause); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
}

// pause keeps t out for a while.
func (b *Balancer) pause(t *catalog.Target, s *targetState, now time.Time) {
	if s.pausedUntil.After(now.Add(rejectPause)) {
		return
	}
	d := min(maxPause, firstPause<<min(s.pauses, 8))
	s.pauses++
	s.pausedUntil = now.Add(d)
	b.Log.Info("target paused", zap.String("Target", t.ID), zap.Duration("For", d), zap.Int("Failures", s.failures), zap.Float64("FaultShare", s.failureRate))
}

// Keep forgets the targets that are not in s.
func (b *Balancer) Prune(s *catalog.Snapshot) {
	known := map[string]bool{}
	for _, targets := range s.Targets {
		for _, t := range targets {
			known[t.ID] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.targetStates {
		if !known[id] && st.open == 0 {
			delete(b.targetStates, id)
		}
	}
}
