package gateway

import (
	"context"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/pkg/result"
)

// The estimates of this file are for the time after a load peak: they follow from what
// the queues hold now. An average of past waits would outlast the peak that caused it, and
// requests that it makes look late are put last, so that they are late.

// remainingTime returns the expected time from the end of stage i to the first
// event: that of the calls that follow and of the waits before them. The waits take at
// most half of the time that is left beside all calls, since a job that is short of
// time goes before those that make up the wait.
func (p *plan) remainingTime(i int) time.Duration {
	calls := p.leastRemainingTime(i)
	waits := p.longestPathAfter(i, func(service string, callTime time.Duration) time.Duration {
		return callTime + max(p.fullCallTime(service)/2, p.h.Stages.WaitEstimate(service).Ahead)
	}) - calls
	left := p.q.softDeadline().Sub(p.h.Clock.Now()) - p.callTime(i) - calls
	return calls + min(waits, max(0, left/2))
}

// leastRemainingTime returns the least time from the end of stage i to the first
// event: that of the calls that follow, without any wait.
func (p *plan) leastRemainingTime(i int) time.Duration {
	return p.longestPathAfter(i, func(_ string, callTime time.Duration) time.Duration { return callTime })
}

// longestPathAfter returns the time of the longest path from the end of stage i
// to the first event. estimate maps the expected call time of a stage to the
// time that is counted for it.
func (p *plan) longestPathAfter(i int, estimate func(service string, callTime time.Duration) time.Duration) time.Duration {
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if slices.Contains(s.After, i) {
			longest = max(longest, p.longestPathFrom(k, estimate))
		}
	}
	return longest
}

// longestPathFrom returns the time of the longest path from the start of stage i to
// the first event. A stage without pieces takes no time.
func (p *plan) longestPathFrom(i int, estimate func(service string, callTime time.Duration) time.Duration) time.Duration {
	after := p.longestPathAfter(i, estimate)
	if p.pieceCount(i) == 0 {
		return after
	}
	return after + estimate(p.q.route.Stages[i].Service, p.callTime(i))
}

// longestPath returns the time of the longest path from now to the first event.
func (p *plan) longestPath(estimate func(service string, callTime time.Duration) time.Duration) time.Duration {
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if len(s.After) == 0 {
			longest = max(longest, p.longestPathFrom(k, estimate))
		}
	}
	return longest
}

// admitByEstimate refuses a request whose stages would take too long by the wait
// estimates, before any of them runs.
func (p *plan) admitByEstimate(waits func(service string) stage.Outlook) error {
	now := p.h.Clock.Now()
	a := admission{aimLeft: p.q.softDeadline().Sub(now), usefulLeft: p.q.usefulUntil().Sub(now)}
	a.onTime = p.longestPath(func(service string, callTime time.Duration) time.Duration {
		return callTime + waits(service).Ahead
	})
	a.late = p.longestPath(func(service string, callTime time.Duration) time.Duration {
		return callTime + waits(service).All
	})
	wait, admitted := a.decide()
	if admitted {
		return nil
	}
	return retryLater(result.Overloaded, p.retryAfter(wait),
		"stages need %v, or %v behind all queued work, but %v is left", a.onTime, a.late, a.aimLeft)
}

// admission is what the decision on a request with stages rests on. All times count
// from now.
type admission struct {
	// onTime is the expected time of the first event if the request goes with the
	// jobs that can be on time, late the one if it goes behind all jobs.
	onTime, late time.Duration
	// aimLeft is the time to the target latency, usefulLeft the time until the caller
	// leaves.
	aimLeft, usefulLeft time.Duration
}

// decide reports whether the request is admitted, and otherwise the time until it
// could be. It is for load peaks: a request that can be on time is always admitted. Any
// other one would wait behind all others, and is admitted only if it would be at most
// maxLateness late and its caller still there.
func (a admission) decide() (wait time.Duration, admitted bool) {
	if a.onTime <= a.aimLeft {
		return 0, true
	}
	limit := min(a.aimLeft+maxLateness, a.usefulLeft)
	if a.late < limit {
		return 0, true
	}
	return a.late - limit, false
}

// retryAfter returns the delay after which the caller of a refused request may
// retry, given the time until it could be admitted.
func (p *plan) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), p.q.deadline.Sub(p.h.Clock.Now())/retryAfterDivisor)
}

// announceStages notifies the batchers of the stages that will follow others, unless
// the batchers know of them by reservations.
func (p *plan) announceStages() {
	p.announced = make([]bool, len(p.q.route.Stages))
	for i, s := range p.q.route.Stages {
		if len(s.After) > 0 && p.pieceCount(i) > 0 && !p.isReserved(i) {
			p.announced[i] = true
			p.h.Stages.AddUpcoming(s.Service, p.pieceCount(i))
		}
	}
}

// withdrawAnnouncement withdraws the announcement of stage i, which has arrived
// at its batcher or never will.
func (p *plan) withdrawAnnouncement(i int) {
	p.mu.Lock()
	announced := p.announced != nil && p.announced[i]
	if announced {
		p.announced[i] = false
	}
	p.mu.Unlock()
	if announced {
		p.h.Stages.AddUpcoming(p.q.route.Stages[i].Service, -p.pieceCount(i))
	}
}

// admit refuses a request that can't be served, before any of its stages runs.
func (p *plan) admit(ctx context.Context) error {
	switch stage.Admission(p.h.Settings.StageAdmission) {
	case stage.ForecastAdmission:
		return p.admitByForecast(ctx)
	case stage.ReservationAdmission:
		return p.admitByReservation(ctx)
	default:
		return p.admitByEstimate(p.h.Stages.WaitEstimate)
	}
}

// Limits of admission.
const (
	// maxLateness is the greatest expected lateness with which a request is still
	// admitted.
	maxLateness = 2500 * time.Millisecond
	// minRetryAfter is the shortest retry delay. The delay is at most the time left
	// divided by retryAfterDivisor, since callers don't wait longer.
	minRetryAfter     = 300 * time.Millisecond
	retryAfterDivisor = 4
)

// callTime returns the expected time of a call with the pieces of stage i alone.
func (p *plan) callTime(i int) time.Duration {
	if pool := p.pool(p.q.route.Stages[i].Service); pool != nil {
		return pool.CallTime + time.Duration(p.pieceCount(i))*pool.PieceTime
	}
	return 0
}

// fullCallTime returns the expected time of a call with as many pieces as fit.
func (p *plan) fullCallTime(service string) time.Duration {
	if pool := p.pool(service); pool != nil {
		return pool.CallTime + time.Duration(pool.Batch)*pool.PieceTime
	}
	return 0
}

// pool returns the pool of service, or nil if there is none.
func (p *plan) pool(service string) *catalog.Pool {
	if svc := p.h.Follower.Snapshot().Table.Services[service]; svc != nil {
		return svc.Pool
	}
	return nil
}
