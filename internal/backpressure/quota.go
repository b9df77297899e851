package backpressure

import (
	"math"
	"time"
)

// The decisions of this file answer targets that name a limit: requests to them are
// spread evenly, at the part of the limit that this host may use for all.

const (
	// trialRate is the least rate at which requests go to a target, a second: it shows
	// only by its responses that its limit has ended.
	trialRate = 0.25
	// burstTime is the time whose unused requests may be made up for later.
	burstTime = time.Second
)

// quota is the rate at which this host may let requests go to one target, of all
// hosts. It is not safe for concurrent use.
type quota struct {
	// rate is in requests a second.
	rate float64
	// tokens is the number of requests that may go at time at. It is negative while
	// requests wait for their turn.
	tokens float64
	at     time.Time
	// cold is set while the target is cold.
	cold bool
}

// setRate changes the rate from now on, given what the target takes from all hosts and
// the share of it that is leased to this host.
func (q *quota) setRate(a allowance, share float64, now time.Time) {
	q.advance(now)
	if a.cold && !q.cold {
		// What was earned, and the turns that were given, belong to another rate. Hosts
		// don't use these turns any more.
		q.tokens = 0
	}
	q.rate, q.cold = a.rate*share, a.cold
}

// burst returns the number of requests that may go at once.
func (q *quota) burst() float64 {
	if q.cold {
		return coldBurst
	}
	return 1 + q.rate*burstTime.Seconds()
}

// advance adds the tokens earned until now.
func (q *quota) advance(now time.Time) {
	elapsed := max(0, now.Sub(q.at))
	q.at = now
	q.tokens = min(q.burst(), q.tokens+q.rate*elapsed.Seconds())
}

// wait returns the time until the next request may go, or noTurn.
func (q *quota) wait(now time.Time) time.Duration {
	q.advance(now)
	switch {
	case q.rate <= 0:
		return noTurn
	case q.tokens >= 1:
		return 0
	default:
		return min(noTurn, time.Duration(math.Ceil((1-q.tokens)/q.rate*float64(time.Second))))
	}
}

// tooLong reports whether wait is longer than for a turn that may be given out.
func (q *quota) tooLong(wait time.Duration) bool {
	if !q.cold {
		return false
	}
	return wait > maxColdWait && wait.Seconds()*q.rate > coldBurst
}

// noTurn is the wait at a target to which no request may go.
const noTurn = time.Hour

// take lets one request go after wait.
func (q *quota) take(now time.Time) {
	q.advance(now)
	q.tokens--
}
