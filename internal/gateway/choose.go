package gateway

import (
	"context"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/placement"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// The decisions of this file answer targets that differ in load, cache and speed, and
// targets in need, which limit the requests of all hosts together.

// chooseTarget returns the target of the next send, or nil, and waits for its turn
// there. If the target takes no requests any more when the turn comes, it chooses again.
func (s *sender) chooseTarget(ctx context.Context) *catalog.Target {
	for {
		s.turnLost = false
		t := s.chooseOnce(ctx)
		if t != nil || !s.turnLost || ctx.Err() != nil {
			return t
		}
	}
}

// chooseOnce chooses a target and waits for its turn there. The holder of the service
// chooses for requests with a prompt; if it gives no target, this host chooses.
func (s *sender) chooseOnce(ctx context.Context) *catalog.Target {
	s.lease, s.noTurnFor, s.q.cost = nil, 0, sendCost{}
	s.turn = backpressure.Turn{AskedAt: s.h.Clock.Now()}
	targets := s.unpaused(s.h.Backpressure.Usable(s.h.activeTargets(s.q, s.q.service)))
	if len(s.q.Prompt) > 0 && !s.choosesHere {
		if t := s.chooseAtHolder(ctx, targets); t != nil {
			return t
		}
		if s.turnLost {
			return nil
		}
		metrics.GetOrRegisterCounter("Placement.OwnChoices", s.h.Metrics).Inc(1)
	}
	return s.chooseHere(ctx, targets)
}

// unpaused returns those of targets that don't ask this host for a pause. If there are
// none, the request gets no turn before the first pause has ended.
func (s *sender) unpaused(targets []*catalog.Target) []*catalog.Target {
	var out []*catalog.Target
	shortest := time.Duration(0)
	for _, t := range targets {
		left := s.h.Backpressure.PauseLeft(t)
		if left == 0 {
			out = append(out, t)
			continue
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(out) == 0 && shortest > 0 {
		s.withoutTurn(nil, shortest)
	}
	return out
}

// chooseAtHolder asks the holder of the service for one of targets. The others that the
// holder may know are left out by name: the holder may not know yet that one is evacuated, and a
// holder of the former version knows no restriction to failure domains.
func (s *sender) chooseAtHolder(ctx context.Context, targets []*catalog.Target) *catalog.Target {
	except := s.h.Balancer.Paused(targets)
	for id := range s.tried {
		except = append(except, id)
	}
	for _, t := range s.h.Follower.Snapshot().Targets[s.q.service] {
		if !slices.Contains(targets, t) {
			except = append(except, t.ID)
		}
	}
	start := s.h.Clock.Now()
	l := s.h.Placement.Choose(ctx, placement.Work{RequestID: s.q.ID, Service: s.q.service, Parts: s.q.Prompt, Except: except, Domain: s.inputsDomain,
		Domains: s.q.domains, MaxWait: s.maxWait(), Route: s.q.route.Name, Workspace: s.q.workspace, LengthHint: s.q.LengthHint, MaxOutput: s.q.MaxOutput,
		EventsBefore: s.q.eventsBefore()})
	if l == nil {
		return nil
	}
	s.h.histogram("Placement.Took").Update(int64(s.h.Clock.Since(start)))
	s.logChoice(&l.Choice, len(except), s.h.Clock.Since(start))
	t := catalog.FindTarget(targets, l.Choice.Target)
	s.turn.Wait, s.turn.Cold = l.Choice.Wait, l.Choice.Cold
	if t != nil && !s.turn.Cold && s.h.Backpressure.ColdLeft(t) > 0 {
		// The holder doesn't know yet that the target is cold. This host asks for a turn
		// there instead, which tells the holder of limits.
		s.choosesHere = true
		t = nil
	}
	if t == nil || !s.waitForTurn(ctx, t) {
		l.End(placement.Abandoned)
		return nil
	}
	s.lease = l
	return t
}

// chooseHere returns the best target by what this host knows. One that limits the
// requests of all hosts needs a turn; while it has none, another target is chosen.
func (s *sender) chooseHere(ctx context.Context, targets []*catalog.Target) *catalog.Target {
	best := s.balance(targets)
	if best == nil || !s.h.Backpressure.Limited(best) {
		return best
	}
	var limited, unlimited []*catalog.Target
	for _, t := range targets {
		switch {
		case !s.h.Backpressure.Limited(t):
			unlimited = append(unlimited, t)
		case !s.tried[t.ID] && t != best:
			limited = append(limited, t)
		}
	}
	limited = slices.Insert(limited, 0, best)
	other := s.balance(unlimited)
	wait := s.maxWait()
	if other != nil {
		wait = 0
	}
	s.turn = backpressure.Turn{AskedAt: s.h.Clock.Now()}
	grant := s.h.Quotas.Take(ctx, s.q.service, limited, wait)
	if grant.Target == "" {
		return s.withoutTurn(other, grant.Wait)
	}
	t := catalog.FindTarget(limited, grant.Target)
	s.turn.Wait, s.turn.Cold = grant.Wait, grant.Cold
	if t != nil && !s.turn.Cold && s.h.Backpressure.ColdLeft(t) > 0 {
		// The holder is of a former version or has other settings, and gave the turn
		// without regard to the rate of a cold target.
		return s.withoutTurn(other, overloadedRetry)
	}
	if t == nil || !s.waitForTurn(ctx, t) {
		return nil
	}
	return t
}

// balance returns the best of targets that were not tried, or nil.
func (s *sender) balance(targets []*catalog.Target) *catalog.Target {
	return s.h.Balancer.Choose(targets, fleet.Request{AffinityKey: s.q.affinityKey(), Except: s.tried, Domain: s.inputsDomain})
}

// withoutTurn returns other, the best target without a limit, or nil; then no target
// takes the request before wait has passed.
func (s *sender) withoutTurn(other *catalog.Target, wait time.Duration) *catalog.Target {
	if other == nil {
		s.noTurnFor = min(wait, maxTurnRetry)
		metrics.GetOrRegisterCounter("Limits.Refused", s.h.Metrics).Inc(1)
		s.h.Log.Info("no turn at a limited target", zap.String("RequestID", s.q.ID), zap.String("Service", s.q.service), zap.Duration("Wait", wait))
	}
	return other
}

// maxTurnRetry is the longest retry delay for callers whose requests got no turn at a
// target.
const maxTurnRetry = 2 * time.Second

// maxWait returns the time that the request can wait for its turn at a target and
// still be answered.
func (s *sender) maxWait() time.Duration {
	return s.q.usefulUntil().Sub(s.h.Clock.Now()) / maxWaitDivisor
}

// maxWaitDivisor is the divisor of the time left that gives the longest wait.
const maxWaitDivisor = 2

// waitForTurn waits for the turn of the request at t, and reports whether it has come
// before the request ended and t still takes requests then. Otherwise the turn is lost,
// and another target may be chosen.
func (s *sender) waitForTurn(ctx context.Context, t *catalog.Target) bool {
	wait := s.turn.Wait
	if wait == 0 {
		return s.turnHolds(t)
	}
	s.h.histogram("Limits.Wait").Update(int64(wait))
	s.h.Log.Info("waiting for a turn at a limited target", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Duration("Wait", wait))
	if s.h.Clock.Sleep(ctx, wait) != nil {
		return false
	}
	if s.h.takesRequests(t) {
		return s.turnHolds(t)
	}
	s.turnLost = true
	s.h.Log.Info("turn lost, the target takes no requests any more", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID))
	return false
}

// turnHolds reports whether the request may go to t now. If t has become cold since the
// turn was given, or if the turn is too late for a cold target, it is lost.
func (s *sender) turnHolds(t *catalog.Target) bool {
	if s.h.Backpressure.TurnHolds(t, s.turn) {
		return true
	}
	s.turnLost = true
	metrics.GetOrRegisterCounter("Cold.TurnsLost", s.h.Metrics).Inc(1)
	s.h.Log.Info("turn lost at a cold target", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Bool("GivenWhileCold", s.turn.Cold),
		zap.Duration("Late", s.h.Clock.Since(s.turn.AskedAt)-s.turn.Wait), zap.Duration("ColdLeft", s.h.Backpressure.ColdLeft(t)))
	return false
}

// takesRequests reports whether t is still in use, has not said that it leaves, and asks
// for no pause.
func (h *Host) takesRequests(t *catalog.Target) bool {
	active := h.Follower.Snapshot().ActiveTargets(t.Service)
	return catalog.FindTarget(h.Backpressure.Usable(active), t.ID) != nil && h.Backpressure.PauseLeft(t) == 0
}
