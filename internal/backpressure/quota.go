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

// setRate changes the rate from now on, given the rate of all hosts at the target and the
// share of it that is leased to this host.
func (q *quota) setRate(a allowance, share float64, now time.Time) {
	q.advance(now)
	if a.cold && !q.cold {
		// Tokens earned at the former rate would exceed that of a cold target. Turns
		// already granted need not be counted, since TurnHolds rejects them.
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

// tooLong reports whether no turn may be granted at a cold target after wait. A quota
// also earns tokens while no turn is granted, so that targets with a low rate get
// requests too, but only from the last maxColdWait before a token is earned.
func (q *quota) tooLong(wait time.Duration) bool { return q.cold && wait > maxColdWait }

// noTurn is the wait at a target to which no request may go.
const noTurn = time.Hour

// take lets one request go after wait.
func (q *quota) take(now time.Time) {
	q.advance(now)
	q.tokens--
}
