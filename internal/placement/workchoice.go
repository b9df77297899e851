package placement

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
)

// This file chooses targets by the work that requests cause, for requests of very different
// cost and targets of unequal speed and load.

// Policy selects how a holder chooses targets.
type Policy string

// The policies.
const (
	// PrefillPolicy chooses by the tokens that targets have still to prefill.
	PrefillPolicy Policy = "Prefill"
	// WorkPolicy chooses by all work that requests cause: prefill, output, memory and the
	// delay of others, at the speed of each target.
	WorkPolicy Policy = "Work"
)

// workState is what a load table learns for WorkPolicy, besides the loads of targets.
type workState struct {
	outputs *outputPredictor
	parts   *partIndex
	// meanSlowness is the logarithm of the mean slowness of the targets.
	meanSlowness float64
}

func newWorkState() *workState {
	return &workState{outputs: newOutputPredictor(), parts: newPartIndex()}
}

// workQuery is a request with what its cost at any target needs.
type workQuery struct {
	*Work
	output outputEstimate
	// prompt and shared are the tokens of the whole prompt and of its shared parts.
	prompt, shared int
	// key is the affinity key.
	key string
	// meanSlowness is the factor of the mean target. Recent work counts relative to it, so
	// that what delays first events at all targets alike doesn't use up maxRecent.
	meanSlowness float64
	// seen is the output that earlier targets have produced, in tokens.
	seen float64
	// exposure and held are those of the request once it runs.
	exposure, held float64
}

// newWorkQuery returns the query for w. It is valid until the next call.
func (lt *LoadTable) newWorkQuery(w *Work, now time.Time) *workQuery {
	lt.work.parts.find(w.sharedParts(), now)
	q := &workQuery{Work: w, key: w.affinityKey(), output: lt.work.outputs.predict(w), seen: tokensPerEvent * float64(w.EventsBefore)}
	for i, p := range w.Parts {
		q.prompt += p.Tokens
		if i < len(w.Parts)-1 {
			q.shared += p.Tokens
		}
	}
	q.meanSlowness = math.Exp(lt.work.meanSlowness)
	q.exposure = exposure(q.output.left(q.seen))
	q.held = float64(q.prompt) + max(q.output.high(), q.seen)
	return q
}

// prefill returns the tokens of q to prefill at a target that has cached ones.
func (q *workQuery) prefill(cached int) float64 { return float64(q.prompt-cached) + q.seen }

// workCost returns the cost of q at t in seconds: the predicted time to the first event,
// the delay of others, and penalties for memory, parts of the prompt that are not cached
// and work that t was given lately. Cached parts weigh as they do with PrefillPolicy.
func (lt *LoadTable) workCost(q *workQuery, t *catalog.Target, now time.Time) float64 {
	s := lt.targetState(t)
	if s.pausedUntil.After(now) {
		return math.MaxFloat64
	}
	cached := lt.work.parts.tokens(s)
	tokens := q.prefill(cached)
	present, lasting := s.engineSlowness(now)
	cost := present*(s.load.firstEventTime(tokens)+s.load.delayCost(tokens, q.exposure)) + s.load.memoryCost(q.held, max(1, t.Slots))
	cost += uncachedPenalty * lt.meanPace * float64(q.shared-cached)
	if q.Domain != "" && t.Domain != q.Domain {
		cost += crossDomainPenalty.Seconds()
	}
	if len(s.requests) >= max(1, t.Slots) {
		cost += fullPenalty.Seconds()
	}
	cost += recentWeight * min(lasting/q.meanSlowness*s.decayed.recent, maxRecent)
	if s.failureRate > 0 {
		cost *= 1 + failurePenalty*s.failureRate*math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
	}
	rank := 1 - float64(peer.Weight(t.ID, q.key))/math.MaxUint64
	return cost * (1 + hashPenalty*rank)
}

// decayInterval is the time for which choices use the same decayed values of a target.
// The values decay within seconds, and computing them for each target is expensive.
const decayInterval = 20 * time.Millisecond

// decayedValues are values of a target that decay, as of an interval of decayInterval.
type decayedValues struct {
	interval                 int64
	present, lasting, recent float64
}

// decayedNow returns the decayed values of s.
func (s *targetState) decayedNow(now time.Time) *decayedValues {
	v := &s.decayed
	if interval := now.UnixNano() / int64(decayInterval); v.interval != interval {
		v.interval = interval
		v.present, v.lasting = s.slowness.factor(now)
		v.recent = s.load.recentWork(now)
	}
	return v
}

// engineSlowness returns the slowness of s: now, which is at least what the request that
// waits longest there implies, and the lasting one.
func (s *targetState) engineSlowness(now time.Time) (present, lasting float64) {
	v := s.decayedNow(now)
	present, lasting = v.present, v.lasting
	if r := s.load.oldestWaiting(); r != nil {
		waited := min(r.waited(now).Seconds(), lasting*maxPassingFactor*r.firstEvent)
		present = max(present, waited/r.firstEvent)
	}
	return present, lasting
}

// engineRequest returns q as a request at s that has cached tokens of its prompt.
func (q *workQuery) engineRequest(s *targetState, cached int) *engineRequest {
	tokens := q.prefill(cached)
	return &engineRequest{output: q.output, prefill: tokens, prompt: float64(q.prompt), seen: q.seen, seenBefore: q.seen, firstEvent: s.load.firstEventTime(tokens)}
}

// addWork counts q at s and completes c.
func (lt *LoadTable) addWork(q *workQuery, s *targetState, c *Choice, now time.Time) *engineRequest {
	c.Born, c.Cached = s.born, lt.work.parts.tokens(s)
	tokens := q.prefill(c.Cached)
	present, lasting := s.engineSlowness(now)
	r := q.engineRequest(s, c.Cached)
	c.Expected = seconds(firstEventOverhead + present*r.firstEvent)
	c.Reading = int(s.load.prefill)
	c.Output, c.HighOutput = int(math.Ceil(q.output.left(q.seen))), int(math.Ceil(max(0, q.output.high()-q.seen)))
	c.Work, c.Slowness = seconds(lasting*workOf(tokens, q.output.left(q.seen))), present
	s.load.add(r, now)
	s.decayed.interval = 0
	lt.work.parts.add(q.sharedParts(), s, now)
	return r
}

// sampleSlowness takes the time since the start of r, which has no first event yet, as a
// sample of the slowness of its target. The end of a response without events is no such
// sample, since it comes after the whole output. Neither is a first event that was reported
// after a silence of the host, since it is not known when it came, nor what a former
// incarnation did, since the mean slowness is what is assumed of the new one.
func (lt *LoadTable) sampleSlowness(r *openRequest, now time.Time) {
	if r.engine == nil || r.hasFirstEvent || r.target.replaced || r.startedAt.Before(lt.resumed[r.host]) {
		return
	}
	s := r.target
	x := sampleOf(now.Sub(r.startedAt), r.engine.firstEvent)
	s.slowness.add(x, now)
	s.decayed.interval = 0
	lt.work.meanSlowness += meanSlownessWeight * max(-maxPassing, min(x-lt.work.meanSlowness, maxPassing))
}

// applyEvents applies the numbers of events in a host's list to the requests that it
// names. Hosts of former versions list none.
func (lt *LoadTable) applyEvents(open *OpenRequests) {
	for i, id := range open.Begun[:min(len(open.Begun), len(open.Events))] {
		if r := lt.requests[id]; r != nil {
			r.engine.progress(open.Events[i])
		}
	}
}

// learnOutput learns from the end of a request with its number of events, which is zero
// if its host does not count them.
func (lt *LoadTable) learnOutput(r *engineRequest, n News) {
	r.progress(n.Events)
	if n.Progress == Answered && n.Events > 0 {
		lt.work.outputs.learn(r.output, r.seen)
	}
}
