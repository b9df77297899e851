package placement

import (
	"math"
	"time"
)

// This file estimates the load of engines: the delay that long prompts cause to running
// requests, and the memory that running requests take.

// Figures of a reference engine, from the ranges that the platform publishes. Only their
// ratios matter for the choice: slowness scales their sum to each target.
const (
	// prefillTime is the time to prefill a token, in seconds: 44 to 51 tokens per
	// millisecond.
	prefillTime = 21e-6
	// A step of an engine takes stepTime, 3.4 to 5.1 ms, and stepTimePerRequest, 0.017
	// to 0.03 ms, for each running request, and gives a token to each.
	stepTime           = 4.2e-3
	stepTimePerRequest = 23e-6
	// chunkTokens is the largest part of a prompt that is prefilled between two steps, 2,048
	// to 4,096 tokens.
	chunkTokens = 3000
	// usualBatch is the number of running requests that share the fixed part of a step
	// in the cost of a token.
	usualBatch = 8
	// memoryTokens is the memory of the smallest engine in tokens.
	memoryTokens = 366_000
	// firstEventOverhead is the part of the time to a first event that doesn't depend on
	// the engine's load, in seconds: the network, and the wait for the step under way.
	firstEventOverhead = 8e-3
)

// Weights and times of the choice by work.
const (
	// exposedOutput is the pending output, in tokens, from which a request counts fully
	// as one that other prefills can delay. It takes about half a second.
	exposedOutput = 100
	// delayWeight is the weight of the time by which prefills delay the outputs of other
	// requests, relative to the request's own time to the first event. A large weight makes
	// first events later under load.
	delayWeight = 0.05
	// usableMemory is the share of an engine's memory that running requests may plan to
	// use. The rest is for cached parts of prompts and for wrong predictions.
	usableMemory = 0.8
	// memoryPenalty is added, in seconds, for a target whose running requests would need
	// all of its memory: one of them would be preempted in mid-stream.
	memoryPenalty = 1
	// recentTime is the time constant with which the work given to a target is
	// forgotten, recentWeight the weight of a second of it. Work over maxRecent, in
	// seconds, doesn't count: under high load, pending work shows which targets are busy,
	// and equal use of all targets would make requests wait longest at the slow ones. The
	// bound has to be well over what targets are given while nothing is pending; once most
	// have reached it, recent work no longer tells them apart.
	recentTime   = 10 * time.Second
	recentWeight = 0.04
	maxRecent    = 6
)

// workOf returns the time that a reference engine needs for prefill and output tokens.
func workOf(prefill, output float64) float64 {
	return prefillTime*prefill + output*(stepTime/usualBatch+stepTimePerRequest)
}

// exposure returns how far prefills can delay a request with left tokens to come, from
// zero to one.
func exposure(left float64) float64 { return min(1, left/exposedOutput) }

// engineLoad is the remaining work of one target.
type engineLoad struct {
	// prefill is the number of tokens to prefill for the queued requests, those without a
	// first event.
	prefill float64
	queued  int
	// running is the number of requests with a first event, exposure the sum of theirs.
	running  int
	exposure float64
	// held is the memory that the open requests are going to need, in tokens.
	held float64
	// recent is the work that the target was given lately, in seconds of a reference
	// engine, as of recentAt.
	recent   float64
	recentAt time.Time
	// waiting holds the requests in the order of their choices; the first one may have
	// its first event or have ended.
	waiting []*engineRequest
}

// engineRequest is one request in an engineLoad.
type engineRequest struct {
	load      *engineLoad
	startedAt time.Time
	// lastMessage is the time of the last message of the request's host.
	lastMessage *time.Time
	output      outputEstimate
	// prefill and prompt are in tokens; the cached part of prompt needs no prefill.
	prefill, prompt float64
	// seen is the number of output tokens so far, of which seenBefore came from earlier
	// targets.
	seen, seenBefore float64
	// firstEvent is the predicted time to the first event on a reference engine, in
	// seconds, at the choice.
	firstEvent float64
	begun      bool
	ended      bool
	// exposure and held are the parts of the sums in load.
	exposure, held float64
}

// firstEventTime returns the time to the first event of a request with prefill tokens
// on a reference engine, without firstEventOverhead.
func (l *engineLoad) firstEventTime(prefill float64) float64 {
	step := stepTime + stepTimePerRequest*float64(l.running+1)
	chunks := float64(l.queued+1) + (l.prefill+prefill)/chunkTokens
	return prefillTime*(l.prefill+prefill) + step*(chunks+tokensPerEvent)
}

// delayCost returns the weighted delay of others by prefill tokens, and of a request
// with that exposure by the prefills of others, in seconds.
func (l *engineLoad) delayCost(prefill, exposure float64) float64 {
	return delayWeight * prefillTime * (prefill*l.exposure + l.prefill*exposure)
}

// memoryCost returns the penalty for a request that is going to need held tokens of memory
// at a target that runs slots requests at once; the others wait and hold none. It grows
// from zero between usableMemory and the whole memory, and further.
func (l *engineLoad) memoryCost(held float64, slots int) float64 {
	open := l.queued + l.running + 1
	over := (l.held+held)*min(1, float64(slots)/float64(open))/memoryTokens - usableMemory
	return memoryPenalty * max(0, over/(1-usableMemory))
}

// recentWork returns the work given lately, in seconds of a reference engine.
func (l *engineLoad) recentWork(now time.Time) float64 {
	if l.recent == 0 {
		return 0
	}
	return l.recent * math.Exp(-now.Sub(l.recentAt).Seconds()/recentTime.Seconds())
}

// addRecent adds work, which may be negative as a correction.
func (l *engineLoad) addRecent(work float64, now time.Time) {
	l.recent, l.recentAt = max(0, l.recentWork(now)+work), now
}

// add counts r.
func (l *engineLoad) add(r *engineRequest, now time.Time) {
	r.load, r.startedAt = l, now
	l.prefill += r.prefill
	l.queued++
	l.addRecent(workOf(r.prefill, r.output.left(r.seen)), now)
	l.waiting = append(l.waiting, r)
	r.update()
}

// update brings the sums of the load up to date with r.
func (r *engineRequest) update() {
	exposed, held := 0.0, 0.0
	if !r.ended {
		held = r.prompt + max(r.output.high(), r.seen)
	}
	if r.begun && !r.ended {
		exposed = exposure(r.output.left(r.seen))
	}
	r.load.exposure = max(0, r.load.exposure+exposed-r.exposure)
	r.load.held = max(0, r.load.held+held-r.held)
	r.exposure, r.held = exposed, held
}

// begin records the first event of r. It does nothing on a nil r, as do the other
// methods that follow the progress of a request.
func (r *engineRequest) begin() {
	if r == nil || r.begun || r.ended {
		return
	}
	r.begun = true
	r.leaveQueue()
	r.load.running++
	r.update()
}

// leaveQueue takes the prefill of r off the load.
func (r *engineRequest) leaveQueue() {
	r.load.queued--
	r.load.prefill = max(0, r.load.prefill-r.prefill)
	if r.load.queued == 0 {
		// Keeps rounding errors from adding up.
		r.load.prefill = 0
	}
}

// progress records that events of r have been seen at its present target.
func (r *engineRequest) progress(events int) {
	if r == nil || r.ended {
		return
	}
	r.seen = max(r.seen, r.seenBefore+tokensPerEvent*float64(events))
	r.update()
}

// end records that r has ended, and corrects the work that it was counted with.
func (r *engineRequest) end(now time.Time) {
	if r == nil || r.ended {
		return
	}
	if r.begun {
		r.load.running--
	} else {
		r.leaveQueue()
	}
	r.ended = true
	// A request with a first event but no output is of a host that counts no events, or has a
	// response without any. Its output is unknown and counts as predicted.
	if got := r.seen - r.seenBefore; got > 0 || !r.begun {
		r.load.addRecent(workOf(0, got-r.output.left(r.seenBefore)), now)
	}
	r.update()
}

// waited returns how long r is known to have waited for its first event. If its host is
// silent, the event may have come since the last message.
func (r *engineRequest) waited(now time.Time) time.Duration {
	if now.Sub(*r.lastMessage) > silence {
		now = *r.lastMessage
	}
	return now.Sub(r.startedAt)
}

// oldestWaiting returns the request that has waited longest for its first event, or nil.
func (l *engineLoad) oldestWaiting() *engineRequest {
	for len(l.waiting) > 0 {
		if r := l.waiting[0]; !r.begun && !r.ended {
			return r
		}
		l.waiting[0] = nil
		l.waiting = l.waiting[1:]
	}
	return nil
}
