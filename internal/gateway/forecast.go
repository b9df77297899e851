package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// The decisions of this file are for a load peak of several seconds that reaches many hosts
// with a few requests each. Each host alone sees little of it, so the batchers record what
// all admit and forecast the waits. Nothing is promised, so that jobs that can be on time
// never wait behind late ones.

// admitByForecast admits the request by the forecasts of the batchers of its stages, which
// record it. Where no batcher replies, the wait estimate takes the place of the forecast.
func (p *plan) admitByForecast(ctx context.Context) error {
	wanted := p.wantedReservations()
	if len(wanted) == 0 {
		return nil
	}
	verdicts := p.h.Stages.Reserve(ctx, wanted)
	if err := p.checkForecasts(wanted, verdicts); err != nil {
		p.h.Stages.GiveBack(unrefused(wanted, verdicts))
		return err
	}
	p.keep(wanted, verdicts)
	return nil
}

// checkForecasts returns a refusal if the request can't be served by the forecasts.
func (p *plan) checkForecasts(wanted []stage.Reservation, verdicts []stage.Verdict) error {
	forecasts := map[int]stage.Outlook{}
	counted := map[string]bool{} // services for which the request was counted as admitted without an estimate
	for i, v := range verdicts {
		r := &wanted[i]
		switch {
		case v.Replied && !v.Granted:
			return retryLater(result.Overloaded, p.spreadReturn(v.Wait), "service %s takes no work for stage %d", r.Service, r.Stage)
		case v.Replied:
			forecasts[r.Stage] = v.Forecast
		default:
			if _, known := p.h.Stages.EstimateAge(r.Service); !known && !counted[r.Service] {
				if !p.h.Stages.AdmitWithoutEstimate(r.Service) {
					return retryLater(result.Overloaded, p.spreadReturn(time.Second), "no batcher of service %s replies, and nothing recent is known of it", r.Service)
				}
				counted[r.Service] = true
			}
			forecasts[r.Stage] = p.h.Stages.WaitEstimate(r.Service)
		}
	}
	now := p.h.Clock.Now()
	a := admission{
		onTime:     p.forecastEnd(func(i int) time.Duration { return forecasts[i].Ahead }),
		late:       p.forecastEnd(func(i int) time.Duration { return forecasts[i].All }),
		aimLeft:    p.q.softDeadline().Sub(now),
		usefulLeft: p.q.usefulUntil().Sub(now),
	}
	if _, admitted := a.decide(); admitted {
		return nil
	}
	p.logForecasts(forecasts, a)
	return retryLater(result.Overloaded, p.spreadReturn(a.late-a.aimLeft),
		"stages need %v, or %v behind all queued work, but %v is left", a.onTime, a.late, a.aimLeft)
}

// logForecasts logs the forecasts by which the request is refused.
func (p *plan) logForecasts(forecasts map[int]stage.Outlook, a admission) {
	for i, s := range p.q.route.Stages {
		if o, ok := forecasts[i]; ok {
			p.h.Log.Info("forecast of a refused request", zap.String("RequestID", p.q.ID), zap.String("Workspace", p.q.workspace), zap.Int("Stage", i), zap.String("Service", s.Service),
				zap.Int("Pieces", p.pieceCount(i)), zap.Duration("Ahead", o.Ahead), zap.Duration("All", o.All), zap.Duration("Piece", o.PerPiece),
				zap.Duration("OnTime", a.onTime), zap.Duration("Late", a.late), zap.Duration("AimLeft", a.aimLeft))
		}
	}
}

// forecastEnd returns the expected time from now to the first event, if the work that waits
// at the pool of each stage now takes the given time. The pools do that work while the
// request is in earlier stages.
func (p *plan) forecastEnd(wait func(i int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(p.q.route.Stages))
	last := time.Duration(0)
	for _, i := range p.order {
		for _, before := range p.q.route.Stages[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		if p.pieceCount(i) > 0 {
			ends[i] = max(ends[i], wait(i)) + p.callTime(i)
		}
		last = max(last, ends[i])
	}
	return last + engineTime
}

// Retry-After of requests that are refused by forecasts.
const (
	// returnShare is the largest delay as a share of the time left. Callers wait for at most
	// a third of that; the rest is a margin for the time that the refusal takes to arrive.
	returnShare = 0.31
	// returnSpread is the spread of the delays of callers that are refused together, as a
	// share of the wait. If the wait is too long for them, the delays lie in the last
	// quarter of the longest one.
	returnSpread = 0.5
)

// spreadReturn returns the delay after which the caller of a refused request may retry: at
// random between wait, after which the pools are expected to take new work, and some time
// later, so that callers that are refused together don't return together.
func (p *plan) spreadReturn(wait time.Duration) time.Duration {
	longest := time.Duration(returnShare * float64(p.q.deadline.Sub(p.h.Clock.Now())))
	if longest <= 0 {
		return 0
	}
	from := min(max(wait, minRetryAfter), time.Duration((1-returnSpread/2)*float64(longest)))
	to := min(time.Duration((1+returnSpread)*float64(max(wait, minRetryAfter))), longest)
	if to <= from {
		return longest
	}
	return from + rand.N(to-from)
}
