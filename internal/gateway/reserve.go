package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/uuid"
)

// reservedLateness is the lateness with which a request is still promised capacity. It is
// much shorter than maxLateness: promises are kept, so that in a load peak the queues grow
// as long as this allows, and late work displaces work that could be on time.
// docs/design/reservations.md compares values.
const reservedLateness = 500 * time.Millisecond

// servedUntil returns the time by which the first event has to come for a request that
// is admitted by reservations.
func (p *plan) servedUntil() time.Time {
	late, leaves := p.q.softDeadline().Add(reservedLateness), p.q.usefulUntil()
	if leaves.Before(late) {
		return leaves
	}
	return late
}

// admittedUntil returns the time by which the first event has to come for a request to be
// admitted.
func (p *plan) admittedUntil() time.Time {
	if stage.Admission(p.h.Settings.StageAdmission) == stage.ReservationAdmission {
		return p.servedUntil()
	}
	late, leaves := p.q.softDeadline().Add(maxLateness), p.q.usefulUntil()
	if leaves.Before(late) {
		return leaves
	}
	return late
}

// admitByReservation asks the batchers of the request's stages for capacity. The request
// is admitted if all grant it. Where no batcher replies, the wait estimates decide.
func (p *plan) admitByReservation(ctx context.Context) error {
	wanted := p.wantedReservations()
	if len(wanted) == 0 {
		return nil
	}
	verdicts := p.h.Stages.Reserve(ctx, wanted)
	if err := p.checkVerdicts(wanted, verdicts); err != nil {
		p.h.Stages.GiveBack(unrefused(wanted, verdicts))
		return err
	}
	p.promised = true
	p.keep(wanted, verdicts)
	return nil
}

// keep keeps the reservations of an admitted request until its jobs take them up.
func (p *plan) keep(wanted []stage.Reservation, verdicts []stage.Verdict) {
	p.reservations = map[int]stage.Reservation{}
	var kept []stage.Reservation
	for i, v := range verdicts {
		if v.Former {
			continue
		}
		p.reservations[wanted[i].Stage] = wanted[i]
		kept = append(kept, wanted[i])
	}
	p.h.Stages.Keep(kept)
}

// checkVerdicts returns a refusal if a batcher refused a reservation, or if none replied
// and the wait estimates don't admit the request.
func (p *plan) checkVerdicts(wanted []stage.Reservation, verdicts []stage.Verdict) error {
	replied := true
	var refused *stage.Reservation
	var longest stage.Answer
	for i, v := range verdicts {
		replied = replied && v.Replied
		if v.Replied && !v.Granted && (refused == nil || v.Wait+v.Spread > longest.Wait+longest.Spread) {
			refused, longest = &wanted[i], v.Answer
		}
	}
	if refused != nil {
		return retryLater(result.Overloaded, p.spreadRetry(longest.Wait, longest.Spread),
			"service %s has no capacity for %d pieces of stage %d within %v, wait %v", refused.Service, refused.Pieces, refused.Stage, refused.End, longest.Wait)
	}
	if replied {
		return nil
	}
	return p.checkEstimates(wanted, verdicts)
}

// checkEstimates returns a refusal if the wait estimates of the services whose batchers
// did not reply don't admit the request. To a service without a recent estimate only a few
// requests are admitted.
func (p *plan) checkEstimates(wanted []stage.Reservation, verdicts []stage.Verdict) error {
	unknown := map[string]bool{}
	for i, v := range verdicts {
		if !v.Replied {
			unknown[wanted[i].Service] = true
		}
	}
	err := p.admitByEstimate(func(service string) stage.Outlook {
		if !unknown[service] {
			return stage.Outlook{}
		}
		return p.h.Stages.WaitEstimate(service)
	})
	if err != nil {
		return err
	}
	for i, v := range verdicts {
		if _, known := p.h.Stages.EstimateAge(wanted[i].Service); !v.Replied && !known && !p.h.Stages.AdmitWithoutEstimate(wanted[i].Service) {
			return retryLater(result.Overloaded, p.spreadRetry(0, time.Second), "no batcher of service %s replies, and nothing recent is known of it", wanted[i].Service)
		}
	}
	return nil
}

// unrefused returns the reservations to give back after a refusal: those that were
// granted, and those that may have been granted although no reply arrived.
func unrefused(wanted []stage.Reservation, verdicts []stage.Verdict) []stage.Reservation {
	var out []stage.Reservation
	refusedAt := map[string]bool{}
	for i, v := range verdicts {
		refusedAt[wanted[i].Service] = refusedAt[wanted[i].Service] || v.Replied && !v.Granted
	}
	for i, v := range verdicts {
		if !v.Former && !refusedAt[wanted[i].Service] {
			out = append(out, wanted[i])
		}
	}
	return out
}

// spreadRetry returns the delay after which the caller of a refused request may retry:
// at random in the time over which capacity becomes free, so that the refused callers don't
// all retry at once. Callers that can't wait that long are spread over the time that they
// can wait.
func (p *plan) spreadRetry(wait, spread time.Duration) time.Duration {
	longest := p.q.deadline.Sub(p.h.Clock.Now()) / retryAfterDivisor
	from := min(max(wait+spread/4, minRetryAfter), longest/2)
	to := min(max(wait+spread, 2*from), longest)
	if to <= from {
		return max(0, longest)
	}
	return from + rand.N(to-from)
}

// wantedReservations returns the reservations for the stages that have pieces.
func (p *plan) wantedReservations() []stage.Reservation {
	now := p.h.Clock.Now()
	limit := p.admittedUntil().Sub(now)
	id := uuid.NewString()
	var out []stage.Reservation
	for i, s := range p.q.route.Stages {
		if p.pieceCount(i) == 0 {
			continue
		}
		start, end := p.stageWindow(i, limit)
		out = append(out, stage.Reservation{
			ID:         id + "/" + strconv.Itoa(i),
			RequestID:  p.q.ID,
			Service:    s.Service,
			Stage:      i,
			Pieces:     p.pieceCount(i),
			PieceBytes: s.ResultBytes,
			Workspace:  p.q.workspace,
			Route:      p.q.route.Name,
			Rank:       p.q.priority,
			Worth:      p.q.worth(),
			Start:      start,
			Due:        p.q.softDeadline().Sub(now) - p.leastRemainingTime(i),
			End:        end,
		})
	}
	return out
}

// stageWindow returns the expected start and the latest end of stage i, counted from now,
// if the first event has to come within limit. The time that the calls of the request
// leave is divided among the waits of its stages: without a division the first stage could
// use up the time of the others.
func (p *plan) stageWindow(i int, limit time.Duration) (start, end time.Duration) {
	call, before := p.callTime(i), p.longestPathBefore(i, onlyCall)
	waitsBefore := waits{
		least:    p.longestPathBefore(i, p.callAndLeastWait) - before,
		expected: p.longestPathBefore(i, p.callAndWait) - before,
	}
	own, after := p.waitsFrom(i)
	slack := limit - before - call - p.leastRemainingTime(i)
	startsBy := before + waitsBefore.share(slack, own.add(after))
	arrives := p.longestPathBefore(i, func(service string, callTime time.Duration) time.Duration {
		return callTime + p.h.Stages.WaitEstimate(service).Ahead
	})
	return min(arrives, startsBy), before + call + waitsBefore.add(own).share(slack, after)
}

// windowFromNow returns the latest end of stage i, counted from now, if it starts now.
func (p *plan) windowFromNow(i int, limit time.Duration) time.Duration {
	call := p.callTime(i)
	own, after := p.waitsFrom(i)
	return call + own.share(limit-call-p.leastRemainingTime(i), after)
}

// waitsFrom returns the wait before the call of stage i and those that follow it.
func (p *plan) waitsFrom(i int) (own, after waits) {
	service, calls := p.q.route.Stages[i].Service, p.leastRemainingTime(i)
	own = waits{least: p.callAndLeastWait(service, 0), expected: p.callAndWait(service, 0)}
	after = waits{least: p.longestPathAfter(i, p.callAndLeastWait) - calls, expected: p.longestPathAfter(i, p.callAndWait) - calls}
	return own, after
}

// waits is the sum of the waits before some stages: the least that each needs, and what
// is expected, which is no less.
type waits struct{ least, expected time.Duration }

func (w waits) add(other waits) waits {
	return waits{w.least + other.least, w.expected + other.expected}
}

// share returns the part of slack that w gets beside others. Each wait gets the least that
// it needs first, and the rest is divided by what is expected beyond that.
func (w waits) share(slack time.Duration, others waits) time.Duration {
	all := w.add(others)
	rest := slack - all.least
	switch {
	case slack <= 0 || all.least == 0:
		return 0
	case rest <= 0:
		return scale(slack, w.least, all.least)
	case all.expected == all.least:
		return w.least + scale(rest, w.least, all.least)
	default:
		return w.least + scale(rest, w.expected-w.least, all.expected-all.least)
	}
}

// scale returns d times part over whole.
func scale(d, part, whole time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(part) / float64(whole))
}

// onlyCall is the estimate of a stage's time without any wait.
func onlyCall(_ string, callTime time.Duration) time.Duration { return callTime }

// callAndLeastWait is the estimate of a stage's time with the least wait before its call: a
// full call, as one is running at each target when a job arrives at a busy pool.
func (p *plan) callAndLeastWait(service string, callTime time.Duration) time.Duration {
	return callTime + p.fullCallTime(service)
}

// callAndWait is the estimate of a stage's time with the expected wait before its call.
func (p *plan) callAndWait(service string, callTime time.Duration) time.Duration {
	return callTime + max(p.fullCallTime(service), p.h.Stages.WaitEstimate(service).Ahead)
}

// longestPathBefore returns the time of the longest path from now to the start of stage
// i, before any stage has run.
func (p *plan) longestPathBefore(i int, estimate func(service string, callTime time.Duration) time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, k := range p.q.route.Stages[i].After {
		own := time.Duration(0)
		if p.pieceCount(k) > 0 {
			own = estimate(p.q.route.Stages[k].Service, p.callTime(k))
		}
		longest = max(longest, p.longestPathBefore(k, estimate)+own)
	}
	return longest
}

// takeUpReservation makes j take up the reservation of its stage, if it has one, with
// the time by which it has to end for the rest of the request to be served.
func (p *plan) takeUpReservation(j *stage.Job, now time.Time) {
	p.mu.Lock()
	if p.reservations == nil {
		p.mu.Unlock()
		return
	}
	j.Begun = p.q.stagesMayHaveRun
	if r, ok := p.reservations[j.Stage]; ok {
		j.Reservation = r.ID
		delete(p.reservations, j.Stage)
	}
	p.mu.Unlock()
	if p.promised {
		j.Promised = true
		j.Promise = p.windowFromNow(j.Stage, p.servedUntil().Sub(now))
	}
}

// isReserved reports whether stage i has a reservation.
func (p *plan) isReserved(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.reservations[i]
	return ok
}

// giveBack gives back the reservations that were not taken up.
func (p *plan) giveBack() {
	p.mu.Lock()
	rest := p.reservations
	p.reservations = nil
	p.mu.Unlock()
	var out []stage.Reservation
	for _, r := range rest {
		out = append(out, r)
	}
	if len(out) > 0 {
		slices.SortFunc(out, func(a, b stage.Reservation) int { return a.Stage - b.Stage })
		p.h.Stages.GiveBack(out)
	}
}
