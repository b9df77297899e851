package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Bounds of the sends of one request.
const (
	// maxSends bounds the sends of a request, those among them that no target
	// took.
	maxSends = 4
	// maxAnswerBytes bounds an answer that is no stream.
	maxAnswerBytes = 64 << 20
	// fullRetry is the time to come back after no target had a place,
	// noTargetRetry that after none was known, noTableRetry that while the host
	// has no configuration.
	fullRetry     = 200 * time.Millisecond
	noTargetRetry = 500 * time.Millisecond
	noTableRetry  = 2 * time.Second
)

// sender sends one request to one target after another.
type sender struct {
	h     *Host
	q     *request
	tried map[string]bool
	// ran is the number of targets that may have run the request.
	ran int
	// last is the answer of a target that a further send may better.
	last *answer
	// inputs are the handles of the results of the stages, domain is where most
	// of them lie.
	inputs []string
	domain string
	// lease is the send at the holder that chose its target, or nil.
	lease *placement.Lease
}

// answer is a target's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (h *Host) newSender(q *request) *sender {
	return &sender{h: h, q: q, tried: map[string]bool{}}
}

// next returns the target of the next send, or nil. A send after the first
// needs a part of the shared budget.
func (s *sender) next(ctx context.Context) *catalog.Target {
	if s.q.sends >= maxSends || s.ran >= max(1, s.q.route.MaxTargets) {
		return nil
	}
	targets := s.h.Follower.Snapshot().ActiveTargets(s.q.service)
	t := s.choose(ctx, targets)
	if t == nil {
		return nil
	}
	if s.q.sends > 0 && !s.h.Repeats.Take(s.q.service) {
		s.lease.End(placement.Abandoned)
		s.h.Log.Info("repeat refused by the budget", zap.String("RequestID", s.q.ID), zap.String("Service", s.q.service), zap.Int("Sends", s.q.sends))
		return nil
	}
	s.q.sends++
	s.q.target = t.ID
	s.tried[t.ID] = true
	return t
}

// choose returns the best of targets. Those of prompts are chosen by the holder
// of the service, and by this host alone where that does not answer.
func (s *sender) choose(ctx context.Context, targets []*catalog.Target) *catalog.Target {
	s.lease = nil
	if len(s.q.Prompt) > 0 {
		if t := s.place(ctx, targets); t != nil {
			return t
		}
		metrics.GetOrRegisterCounter("Placement.OwnChoices", s.h.Metrics).Inc(1)
	}
	return s.h.Fleet.Choose(targets, fleet.Want{Home: s.q.home(), Except: s.tried, Domain: s.domain})
}

// place asks the holder of the service for a target.
func (s *sender) place(ctx context.Context, targets []*catalog.Target) *catalog.Target {
	except := s.h.Fleet.Paused(targets)
	for id := range s.tried {
		except = append(except, id)
	}
	start := s.h.Clock.Now()
	l := s.h.Places.Choose(ctx, placement.Work{RequestID: s.q.ID, Service: s.q.service, Parts: s.q.Prompt, Except: except, Domain: s.domain})
	if l == nil {
		return nil
	}
	s.h.histogram("Placement.Took").Update(int64(s.h.Clock.Since(start)))
	s.h.Log.Info("target chosen", zap.String("RequestID", s.q.ID), zap.String("Target", l.Choice.Target), zap.Duration("Expected", l.Choice.Expected),
		zap.Int("Reading", l.Choice.Reading), zap.Int("Cached", l.Choice.Cached), zap.Int("Except", len(except)), zap.Duration("Took", s.h.Clock.Since(start)))
	for _, t := range targets {
		if t.ID == l.Choice.Target {
			s.lease = l
			return t
		}
	}
	l.End(placement.Abandoned)
	return nil
}

// end notes what became of a send to t.
func (s *sender) end(t *catalog.Target, r fleet.Result, took time.Duration) {
	s.h.Fleet.End(t, r, took)
	s.lease.End(progress[r])
}

// progress is the end of a send as a board takes it.
var progress = [...]placement.Progress{
	fleet.Answered:    placement.Answered,
	fleet.Failed:      placement.Failed,
	fleet.Unreachable: placement.Failed,
	fleet.Rejected:    placement.Rejected,
	fleet.Abandoned:   placement.Abandoned,
}

// send sends the request to t and returns the head of the answer.
func (s *sender) send(ctx context.Context, t *catalog.Target, resumes bool, after int64) (*upstream.Answer, Reply, error) {
	q := s.q
	header := s.h.Format.Forward(q.header, Send{
		Target:      t.ID,
		Workspace:   q.workspace,
		Left:        q.until.Sub(s.h.Clock.Now()),
		Inputs:      s.inputs,
		Resumes:     resumes,
		ResumeAfter: after,
	})
	a, err := s.h.Upstream.Do(ctx, t.Addr, &upstream.Request{
		Method: q.method,
		URI:    q.uri,
		Host:   q.host,
		Header: header,
		Body:   q.body,
		Echoed: func(h http.Header) bool { return s.h.Format.ReadReply(0, h).ID == q.ID },
		Fresh:  q.route.Kind != catalog.Safe,
	})
	if err != nil {
		return nil, Reply{}, err
	}
	return a, s.h.Format.ReadReply(a.Status, a.Header), nil
}

// failed notes a send without a useful answer and reports what became of it.
func (s *sender) failed(ctx context.Context, t *catalog.Target, err error, took time.Duration) fleet.Result {
	r := fleet.Failed
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil:
		r = fleet.Unreachable
	case errors.Is(err, upstream.ErrNotSent):
		r = fleet.Abandoned
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		r = fleet.Abandoned
		s.ran++
		s.q.mayRun = true
	default:
		s.ran++
		s.q.mayRun = true
		if ctx.Err() == nil {
			go s.h.Crashes.Broke(context.Background(), s.q.digest, t.ID)
		}
	}
	s.end(t, r, took)
	s.h.Log.Info("send failed", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Stringer("Result", r),
		zap.Duration("Took", took), journal.Error(err))
	return r
}

// rejected notes that t did not run the request.
func (s *sender) rejected(t *catalog.Target, a *upstream.Answer, took time.Duration) {
	a.Body.Close()
	s.end(t, fleet.Rejected, took)
	s.h.Log.Info("send rejected", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Int("Status", a.Status), zap.Duration("Took", took))
}

// giveUp returns the final error of a request for which no send is left.
func (s *sender) giveUp(ctx context.Context) error {
	q := s.q
	timeout := errors.Is(context.Cause(ctx), errTimeout)
	switch {
	case q.mayRun && timeout, q.stages && timeout:
		return result.Failed(result.DeadlineExceeded, "the time ran out after %d sends", q.sends)
	case q.mayRun:
		return result.Failed(result.AnswerBroken, "no target gave a whole answer in %d sends", q.sends)
	case q.stages:
		return result.Failed(result.StageFailed, "the stages ran, and no target took the request in %d sends", q.sends)
	case q.sends == 0:
		return later(result.NoTarget, noTargetRetry, "no target of %s is usable", q.service)
	default:
		return later(result.Overloaded, fullRetry, "no target of %s took the request in %d sends", q.service, q.sends)
	}
}

// plain serves a request that has one answer.
func (h *Host) plain(ctx context.Context, q *request, out *reply) error {
	s := h.newSender(q)
	for ctx.Err() == nil {
		t := s.next(ctx)
		if t == nil {
			break
		}
		if a := s.whole(ctx, t); a != nil {
			if a.status < http.StatusInternalServerError || !q.route.Repeatable() {
				return a.pass(out)
			}
			s.last = a
		}
		if q.mayRun && !q.route.Repeatable() {
			break
		}
	}
	if s.last != nil {
		return s.last.pass(out)
	}
	return s.giveUp(ctx)
}

// whole sends the request to t and reads the whole answer; it returns nil if
// there is none.
func (s *sender) whole(ctx context.Context, t *catalog.Target) *answer {
	start := s.h.Clock.Now()
	s.h.Fleet.Begin(t)
	a, reply, err := s.send(ctx, t, false, 0)
	if err != nil {
		s.failed(ctx, t, err, s.h.Clock.Since(start))
		return nil
	}
	if reply.NotRun {
		s.rejected(t, a, s.h.Clock.Since(start))
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	a.Body.Close()
	if err == nil && a.Length >= 0 && int64(len(body)) != a.Length && s.q.method != http.MethodHead {
		err = upstream.ErrBroken
	}
	if err == nil && !reply.Signed {
		err = errUnsigned
	}
	if err != nil {
		s.failed(ctx, t, err, s.h.Clock.Since(start))
		return nil
	}
	s.ran++
	s.q.mayRun = true
	r := fleet.Answered
	if a.Status >= http.StatusInternalServerError {
		r = fleet.Failed
	}
	s.end(t, r, s.h.Clock.Since(start))
	return &answer{a.Status, a.Header, body}
}

// errUnsigned is the error of an answer that no target has signed.
var errUnsigned = errors.New("the answer is not a target's")

// pass writes a target's answer to the caller.
func (a *answer) pass(out *reply) error {
	out.head(a.status, a.header)
	if _, err := out.w.Write(a.body); err != nil {
		return result.Failed(result.Cancelled, "writing the answer: %v", err)
	}
	return nil
}
