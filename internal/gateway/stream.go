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
	minStallTimeout  = 1200 * time.Millisecond
	stallPauseFactor = 3
	// firstStall is the silence before the first event after which a resumable
	// stream is sent elsewhere.
	firstEventTimeout = 3 * time.Second
)

// errStalled is the cause of a context that a silent target ended.
var errStalled = errors.New("the target is silent")

// relayed is the state of the answer to one stream request over all its sends.
type relayState struct {
	out *callerResponse
	// last is the number of the last event that the caller has, where known.
	lastEventID    int64
	hasLastEventID bool
}

// stream serves a request that is answered by events.
func (h *Host) serveStream(ctx context.Context, q *request, out *callerResponse) error {
	s := h.newSender(q)
	p := h.newPlan(q)
	defer p.release()
	if err := p.admit(); err != nil {
		return err
	}
	p.announceStages()
	rel := &relayState{out: out, lastEventID: q.ResumeAfter, hasLastEventID: q.Resumes}
	for round := 0; ctx.Err() == nil; round++ {
		if err := s.runStages(ctx, p); err != nil {
			return s.logCut(rel, err)
		}
		t := s.nextTarget(ctx)
		if t == nil {
			break
		}
		end := s.sendStream(ctx, t, rel, p)
		switch end {
		case streamComplete:
			return nil
		case streamEventless:
			return s.lastResponse.writeTo(out)
		case streamInputsGone:
			if round >= maxStageReruns {
				return s.logCut(rel, s.finalError(ctx))
			}
			delete(s.tried, t.ID)
			p.dropInputs()
		case streamBroken:
			if !q.route.Repeatable() {
				return s.logCut(rel, s.finalError(ctx))
			}
		case streamNotRun:
		}
	}
	return s.logCut(rel, s.finalError(ctx))
}

// maxRedo is the number of times that stages run again for results that were
// lost.
const maxStageReruns = 2

// prepare runs the stages, unless their results are there.
func (s *sender) runStages(ctx context.Context, p *plan) error {
	if len(s.q.route.Stages) == 0 {
		return nil
	}
	start := s.h.Clock.Now()
	inputs, domain, err := p.run(ctx)
	s.q.stagesTook += s.h.Clock.Since(start)
	s.inputs, s.inputsDomain = inputs, domain
	return err
}

// cut returns err for a stream that does not reach its end.
func (s *sender) logCut(rel *relayState, err error) error {
	if rel.out.started {
		s.h.Log.Info("stream cut", zap.String("RequestID", s.q.ID), zap.Int64("LastEvent", rel.lastEventID), zap.Int("Sends", s.q.sends))
	}
	return err
}

// streamEnd says how a send of a stream ended.
type streamEnd int

const (
	// streamWhole means that the caller has the whole answer.
	streamComplete streamEnd = iota
	// streamFinal means that the target gave an answer without events.
	streamEventless
	// streamBroken means that the target may have run the request in part.
	streamBroken
	// notTaken means that the target did not run it.
	streamNotRun
	// inputsGone means that it did not for want of an input.
	streamInputsGone
)

// events sends the request to t and passes the events on.
func (s *sender) sendStream(ctx context.Context, t *catalog.Target, rel *relayState, p *plan) streamEnd {
	start := s.h.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.startStallTimer(cancel)
	defer watch.stop()
	s.h.Fleet.Begin(t)
	a, reply, err := s.send(ctx, t, rel.hasLastEventID, rel.lastEventID)
	if err != nil {
		if r := s.recordFailure(ctx, t, err, s.h.Clock.Since(start)); r == fleet.Unreachable {
			return streamNotRun
		}
		return streamBroken
	}
	switch {
	case reply.InputsGone:
		s.recordRejection(t, a, s.h.Clock.Since(start))
		return streamInputsGone
	case reply.NotRun:
		s.recordRejection(t, a, s.h.Clock.Since(start))
		return streamNotRun
	case a.Status != http.StatusOK:
		return s.readEventless(ctx, t, a, reply, start, rel)
	case !reply.Signed:
		a.Body.Close()
		s.recordFailure(ctx, t, errUnsigned, s.h.Clock.Since(start))
		return streamBroken
	}
	defer a.Body.Close()
	return s.relayEvents(ctx, t, a, rel, p, watch, start)
}

// noEvents takes an answer that holds no events.
func (s *sender) readEventless(ctx context.Context, t *catalog.Target, a *upstream.Response, reply ResponseInfo, start time.Time, rel *relayState) streamEnd {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	a.Body.Close()
	if err == nil && !reply.Signed {
		err = errUnsigned
	}
	if err != nil {
		s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
		return streamBroken
	}
	s.possibleRuns++
	s.q.mayHaveRun = true
	s.endSend(t, fleet.Failed, s.h.Clock.Since(start))
	s.lastResponse = &targetResponse{a.Status, a.Header, body}
	if rel.out.started || a.Status >= http.StatusInternalServerError && s.q.route.Repeatable() && s.possibleRuns < s.q.route.MaxTargets {
		return streamBroken
	}
	return streamEventless
}

// pump passes events on until the stream ends.
func (s *sender) relayEvents(ctx context.Context, t *catalog.Target, a *upstream.Response, rel *relayState, p *plan, watch *stallTimer, start time.Time) streamEnd {
	s.possibleRuns++
	s.q.mayHaveRun = true
	control := http.NewResponseController(rel.out.w)
	events := newEventReader(a.Body)
	var first time.Duration
	for {
		ev, err := events.next()
		if err == io.EOF {
			s.endSend(t, fleet.Answered, max(first, s.h.Clock.Since(start)/2))
			return s.finishStream(a, rel)
		}
		if err != nil {
			s.possibleRuns--
			s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
			return streamBroken
		}
		watch.reset()
		if first == 0 {
			first = s.h.Clock.Since(start)
			p.release()
			s.lease.Begun()
		}
		if ev.hasID && rel.hasLastEventID && ev.id <= rel.lastEventID {
			continue
		}
		if err := s.relayEvent(a, rel, ev, control); err != nil {
			s.endSend(t, fleet.Abandoned, first)
			s.h.Log.Info("caller does not read", zap.String("RequestID", s.q.ID), journal.Error(err))
			return streamBroken
		}
	}
}

// ended ends the answer of a stream that was read to its end.
func (s *sender) finishStream(a *upstream.Response, rel *relayState) streamEnd {
	if !rel.out.started {
		rel.out.startTargetResponse(a.Status, streamHeader(a))
	}
	return streamComplete
}

// pass writes one event to the caller.
func (s *sender) relayEvent(a *upstream.Response, rel *relayState, ev event, control *http.ResponseController) error {
	if !rel.out.started {
		s.q.timeToFirstEvent = s.h.Clock.Since(s.q.arrived)
		rel.out.startTargetResponse(a.Status, streamHeader(a))
	}
	if _, err := rel.out.w.Write(ev.raw); err != nil {
		return err
	}
	s.q.eventCount++
	if ev.hasID {
		rel.lastEventID, rel.hasLastEventID = ev.id, true
	}
	return control.Flush()
}

// streamHeader is the header of a stream's answer; its length is unknown here,
// since it may end at another target.
func streamHeader(a *upstream.Response) http.Header {
	header := a.Header.Clone()
	header.Del("Content-Length")
	return header
}

// silence ends the send of a resumable stream at a silent target.
type stallTimer struct {
	h         *Host
	cancel    context.CancelCauseFunc
	limit     time.Duration
	stopTimer func() bool
}

// watchSilence starts to watch; streams that can't go on elsewhere are not
// watched.
func (s *sender) startStallTimer(cancel context.CancelCauseFunc) *stallTimer {
	w := &stallTimer{h: s.h, cancel: cancel}
	if s.q.route.Repeatable() && s.q.sends < max(1, s.q.route.MaxTargets) {
		w.limit = max(minStallTimeout, stallPauseFactor*s.q.route.EventPause)
		w.arm(firstEventTimeout)
	}
	return w
}

func (w *stallTimer) arm(d time.Duration) {
	w.stopTimer = w.h.Clock.AfterFunc(d, func() { w.cancel(errStalled) })
}

// heard notes an event.
func (w *stallTimer) reset() {
	if w.limit > 0 && w.stopTimer() {
		w.arm(w.limit)
	}
}

func (w *stallTimer) stop() {
	if w.stopTimer != nil {
		w.stopTimer()
	}
}
