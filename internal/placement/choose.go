package placement

import (
	"math"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
)

// This file chooses among targets that differ in pending prefill, cached parts and failures,
// and that may limit the number of their requests. The cost is that of PrefillPolicy;
// workchoice.go has that of WorkPolicy.

// Weights and times of the choice.
const (
	// baseTokens is the work of a request besides its prompt, in tokens.
	baseTokens = 2000
	// paceDecayTime is the time constant with which a target's pace returns to the
	// mean.
	paceDecayTime = 4 * time.Second
	// crossDomainPenalty is added for a target in another domain than large inputs.
	crossDomainPenalty = 80 * time.Millisecond
	// uncachedPenalty is added for a target that has not cached shared tokens, as
	// a multiple of the time to prefill them, since that delays other
	// requests too.
	uncachedPenalty = 2
	// scarcityWeight is the weight of what a request takes from others, relative to its
	// own time, while some targets limit the number of requests.
	scarcityWeight = 2
	// hashPenalty is the largest share of its cost that is added for a target late
	// in the order of rendezvous hashing. It decides among similar targets.
	hashPenalty = 0.15
	// fullPenalty is added for a target without a free slot.
	fullPenalty = 500 * time.Millisecond
	// The cost of a target that fails all requests is multiplied by 1 + failurePenalty.
	failurePenalty = 8
	// cachedPartLifetime is how long a target is assumed to cache a part of a prompt.
	cachedPartLifetime = time.Minute
)

// Choose returns the target with the least cost for w, which is the predicted time
// to the first event with penalties, and counts w there.
func (lt *LoadTable) Choose(w *Work, targets []*catalog.Target, now time.Time) Choice {
	lt.recordMessage(w.Host, now)
	lt.removeSilentHosts(now)
	var q *workQuery
	if lt.work != nil {
		q = lt.newWorkQuery(w, now)
	}
	best, wait := lt.cheapest(w, q, targets, now)
	if best == nil {
		return Choice{}
	}
	cold := lt.quotas.Take(best)
	s := lt.targetState(best)
	ownTokens, cached := s.work(w, now)
	c := Choice{Target: best.ID, Wait: wait, Cold: cold, Reading: int(s.pendingTokens), Cached: cached, Expected: seconds(lt.pace(s, now) * (s.pendingTokens + ownTokens))}
	var e *engineRequest
	if q != nil {
		e = lt.addWork(q, s, &c, now)
	}
	lt.addRequest(w, s, e, ownTokens, now)
	return c
}

// cheapest returns the target with the least cost for w, or nil, and the time until w
// may go there. q is nil unless the table chooses by work.
func (lt *LoadTable) cheapest(w *Work, q *workQuery, targets []*catalog.Target, now time.Time) (best *catalog.Target, bestWait time.Duration) {
	anyLimited := slices.ContainsFunc(targets, lt.quotas.Limited)
	least := math.Inf(1)
	for _, t := range targets {
		if slices.Contains(w.Except, t.ID) || !catalog.DomainAllowed(w.Domains, t.Domain) {
			continue
		}
		wait := lt.quotas.Wait(t)
		if !backpressure.MayWait(wait, w.MaxWait) {
			continue
		}
		cost := wait.Seconds()
		if q != nil {
			cost += lt.workCost(q, t, now)
		} else {
			cost += lt.cost(w, t, now)
		}
		if anyLimited {
			cost += lt.scarcityCost(w, t, now)
		}
		if cost < least {
			best, bestWait, least = t, wait, cost
		}
	}
	return best, bestWait
}

// sharedParts returns the parts that other requests may share.
func (w *Work) sharedParts() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// work returns the work of w at s in tokens and the number of tokens cached there.
// All parts after the first uncached one have to be prefilled too.
func (s *targetState) work(w *Work, now time.Time) (ownTokens float64, cached int) {
	ownTokens = baseTokens
	prefixCached := true
	for i, p := range w.Parts {
		at, ok := s.cachedParts.Peek(p.ID)
		prefixCached = prefixCached && ok && now.Sub(at) < cachedPartLifetime && i < len(w.Parts)-1
		if prefixCached {
			cached += p.Tokens
		} else {
			ownTokens += float64(p.Tokens)
		}
	}
	return ownTokens, cached
}

// cost returns the predicted time to the first event of w at t, in seconds, with
// penalties.
func (lt *LoadTable) cost(w *Work, t *catalog.Target, now time.Time) float64 {
	s := lt.targetState(t)
	if s.pausedUntil.After(now) {
		return math.MaxFloat64
	}
	ownTokens, cached := s.work(w, now)
	cost := lt.pace(s, now) * (s.pendingTokens + ownTokens)
	shared := 0
	for _, p := range w.sharedParts() {
		shared += p.Tokens
	}
	cost += uncachedPenalty * lt.meanPace * float64(shared-cached)
	if w.Domain != "" && t.Domain != w.Domain {
		cost += crossDomainPenalty.Seconds()
	}
	if len(s.requests) >= max(1, t.Slots) {
		cost += fullPenalty.Seconds()
	}
	cost *= 1 + failurePenalty*s.failureRate*math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
	rank := 1 - float64(peer.Weight(t.ID, w.affinityKey()))/math.MaxUint64
	return cost * (1 + hashPenalty*rank)
}

// scarcityCost returns what w takes from other requests, in seconds, while some
// targets limit the number of requests: at these one request of any size, at the
// others its prefill. The largest prompts should go where only their number counts.
func (lt *LoadTable) scarcityCost(w *Work, t *catalog.Target, now time.Time) float64 {
	tokens := lt.meanTokens
	if !lt.quotas.Limited(t) {
		tokens, _ = lt.targetState(t).work(w, now)
	}
	return scarcityWeight * lt.meanPace * tokens
}

// pace returns the predicted time per token of s, in seconds: the recent pace, but
// not less than the requests that still wait there imply.
func (lt *LoadTable) pace(s *targetState, now time.Time) float64 {
	pace := lt.meanPace
	if s.pace > 0 {
		pace += (s.pace - lt.meanPace) * math.Exp(-now.Sub(s.paceAt).Seconds()/paceDecayTime.Seconds())
	}
	for _, r := range s.requests {
		if !r.hasFirstEvent {
			pace = math.Max(pace, now.Sub(r.startedAt).Seconds()/(r.tokensAhead+r.ownTokens))
		}
	}
	return math.Min(pace, maxPaceFactor*lt.meanPace)
}
