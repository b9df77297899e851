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
	"berylswitch.example/berylswitch/internal/upstream"
	"go.uber.org/zap"
)

// Times of streams.
const (
	// minStall and stallPauses, times the pause that a route allows between
	// events, make up the silence after which a resumable stream goes on at
	// another target.
	minStall    = 1200 * time.Millisecond
	stallPauses = 3
	// firstStall is the silence before the first event after which a resumable
	// stream is sent elsewhere.
	firstStall = 3 * time.Second
)

// errStalled is the cause of a context that a silent target ended.
var errStalled = errors.New("the target is silent")

// relayed is the state of the answer to one stream request over all its sends.
type relayed struct {
	out *reply
	// last is the number of the last event that the caller has, where known.
	last    int64
	hasLast bool
}

// stream serves a request that is answered by events.
func (h *Host) stream(ctx context.Context, q *request, out *reply) error {
	s := h.newSender(q)
	p := h.newPlan(q)
	defer p.release()
	if err := p.admit(); err != nil {
		return err
	}
	p.expect()
	rel := &relayed{out: out, last: q.ResumeAfter, hasLast: q.Resumes}
	for round := 0; ctx.Err() == nil; round++ {
		if err := s.prepare(ctx, p); err != nil {
			return s.cut(rel, err)
		}
		t := s.next(ctx)
		if t == nil {
			break
		}
		end := s.events(ctx, t, rel, p)
		switch end {
		case streamWhole:
			return nil
		case streamFinal:
			return s.last.pass(out)
		case inputsGone:
			if round >= maxRedo {
				return s.cut(rel, s.giveUp(ctx))
			}
			delete(s.tried, t.ID)
			p.lost()
		case streamBroken:
			if !q.route.Repeatable() {
				return s.cut(rel, s.giveUp(ctx))
			}
		case notTaken:
		}
	}
	return s.cut(rel, s.giveUp(ctx))
}

// maxRedo is the number of times that stages run again for results that were
// lost.
const maxRedo = 2

// prepare runs the stages, unless their results are there.
func (s *sender) prepare(ctx context.Context, p *plan) error {
	if len(s.q.route.Stages) == 0 {
		return nil
	}
	start := s.h.Clock.Now()
	inputs, domain, err := p.run(ctx)
	s.q.staged += s.h.Clock.Since(start)
	s.inputs, s.domain = inputs, domain
	return err
}

// cut returns err for a stream that does not reach its end.
func (s *sender) cut(rel *relayed, err error) error {
	if rel.out.begun {
		s.h.Log.Info("stream cut", zap.String("RequestID", s.q.ID), zap.Int64("LastEvent", rel.last), zap.Int("Sends", s.q.sends))
	}
	return err
}

// streamEnd says how a send of a stream ended.
type streamEnd int

const (
	// streamWhole means that the caller has the whole answer.
	streamWhole streamEnd = iota
	// streamFinal means that the target gave an answer without events.
	streamFinal
	// streamBroken means that the target may have run the request in part.
	streamBroken
	// notTaken means that the target did not run it.
	notTaken
	// inputsGone means that it did not for want of an input.
	inputsGone
)

// events sends the request to t and passes the events on.
func (s *sender) events(ctx context.Context, t *catalog.Target, rel *relayed, p *plan) streamEnd {
	start := s.h.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.watchSilence(cancel)
	defer watch.stop()
	s.h.Fleet.Begin(t)
	a, reply, err := s.send(ctx, t, rel.hasLast, rel.last)
	if err != nil {
		if r := s.failed(ctx, t, err, s.h.Clock.Since(start)); r == fleet.Unreachable {
			return notTaken
		}
		return streamBroken
	}
	switch {
	case reply.InputsGone:
		s.rejected(t, a, s.h.Clock.Since(start))
		return inputsGone
	case reply.NotRun:
		s.rejected(t, a, s.h.Clock.Since(start))
		return notTaken
	case a.Status != http.StatusOK:
		return s.noEvents(ctx, t, a, reply, start, rel)
	case !reply.Signed:
		a.Body.Close()
		s.failed(ctx, t, errUnsigned, s.h.Clock.Since(start))
		return streamBroken
	}
	defer a.Body.Close()
	return s.pump(ctx, t, a, rel, p, watch, start)
}

// noEvents takes an answer that holds no events.
func (s *sender) noEvents(ctx context.Context, t *catalog.Target, a *upstream.Answer, reply Reply, start time.Time, rel *relayed) streamEnd {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	a.Body.Close()
	if err == nil && !reply.Signed {
		err = errUnsigned
	}
	if err != nil {
		s.failed(ctx, t, err, s.h.Clock.Since(start))
		return streamBroken
	}
	s.ran++
	s.q.mayRun = true
	s.end(t, fleet.Failed, s.h.Clock.Since(start))
	s.last = &answer{a.Status, a.Header, body}
	if rel.out.begun || a.Status >= http.StatusInternalServerError && s.q.route.Repeatable() && s.ran < s.q.route.MaxTargets {
		return streamBroken
	}
	return streamFinal
}

// pump passes events on until the stream ends.
func (s *sender) pump(ctx context.Context, t *catalog.Target, a *upstream.Answer, rel *relayed, p *plan, watch *silence, start time.Time) streamEnd {
	s.ran++
	s.q.mayRun = true
	control := http.NewResponseController(rel.out.w)
	events := newEventReader(a.Body)
	var first time.Duration
	for {
		ev, err := events.next()
		if err == io.EOF {
			s.end(t, fleet.Answered, max(first, s.h.Clock.Since(start)/2))
			return s.ended(a, rel)
		}
		if err != nil {
			s.ran--
			s.failed(ctx, t, err, s.h.Clock.Since(start))
			return streamBroken
		}
		watch.heard()
		if first == 0 {
			first = s.h.Clock.Since(start)
			p.release()
			s.lease.Begun()
		}
		if ev.hasID && rel.hasLast && ev.id <= rel.last {
			continue
		}
		if err := s.pass(a, rel, ev, control); err != nil {
			s.end(t, fleet.Abandoned, first)
			s.h.Log.Info("caller does not read", zap.String("RequestID", s.q.ID), journal.Error(err))
			return streamBroken
		}
	}
}

// ended ends the answer of a stream that was read to its end.
func (s *sender) ended(a *upstream.Answer, rel *relayed) streamEnd {
	if !rel.out.begun {
		rel.out.head(a.Status, streamHeader(a))
	}
	return streamWhole
}

// pass writes one event to the caller.
func (s *sender) pass(a *upstream.Answer, rel *relayed, ev event, control *http.ResponseController) error {
	if !rel.out.begun {
		s.q.firstOut = s.h.Clock.Since(s.q.arrived)
		rel.out.head(a.Status, streamHeader(a))
	}
	if _, err := rel.out.w.Write(ev.raw); err != nil {
		return err
	}
	s.q.events++
	if ev.hasID {
		rel.last, rel.hasLast = ev.id, true
	}
	return control.Flush()
}

// streamHeader is the header of a stream's answer; its length is unknown here,
// since it may end at another target.
func streamHeader(a *upstream.Answer) http.Header {
	header := a.Header.Clone()
	header.Del("Content-Length")
	return header
}

// silence ends the send of a resumable stream at a silent target.
type silence struct {
	h       *Host
	cancel  context.CancelCauseFunc
	limit   time.Duration
	stopped func() bool
}

// watchSilence starts to watch; streams that can't go on elsewhere are not
// watched.
func (s *sender) watchSilence(cancel context.CancelCauseFunc) *silence {
	w := &silence{h: s.h, cancel: cancel}
	if s.q.route.Repeatable() && s.q.sends < max(1, s.q.route.MaxTargets) {
		w.limit = max(minStall, stallPauses*s.q.route.EventPause)
		w.arm(firstStall)
	}
	return w
}

func (w *silence) arm(d time.Duration) {
	w.stopped = w.h.Clock.AfterFunc(d, func() { w.cancel(errStalled) })
}

// heard notes an event.
func (w *silence) heard() {
	if w.limit > 0 && w.stopped() {
		w.arm(w.limit)
	}
}

func (w *silence) stop() {
	if w.stopped != nil {
		w.stopped()
	}
}
