package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// relayState is the state of the response to one stream request across all its
// sends.
type relayState struct {
	out *callerResponse
	// events writes to out; it is nil before the first event.
	events *eventWriter
	// lastEventID is the number of the last event that the caller has; valid if
	// hasLastEventID is set.
	lastEventID    int64
	hasLastEventID bool
}

// serveStream serves a request that is answered by a stream of events. It returns when
// the caller has taken all events that were read, also if the stream is cut or late.
func (h *Host) serveStream(ctx context.Context, q *request, out *callerResponse) error {
	rel := &relayState{out: out, lastEventID: q.ResumeAfter, hasLastEventID: q.Resumes}
	err := h.relayStream(ctx, q, rel)
	if rel.events == nil {
		return err
	}
	if writeErr := rel.events.finish(); writeErr != nil {
		h.Log.Info("writing an event to the caller failed", zap.String("RequestID", q.ID), journal.Error(writeErr))
		if err == nil {
			err = result.Failed(result.Cancelled, "writing the response: %v", writeErr)
		}
	}
	return err
}

// relayStream passes on the events of one or more sends.
func (h *Host) relayStream(ctx context.Context, q *request, rel *relayState) error {
	s := h.newSender(q)
	defer s.memory.Release()
	p := h.newPlan(q)
	defer p.release()
	if err := p.checkBarred(); err != nil {
		return err
	}
	if err := p.admit(ctx); err != nil {
		return err
	}
	p.announceStages()
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
			return s.lastResponse.writeTo(rel.out)
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

// maxStageReruns is the maximum number of times that stages run again to replace
// lost results.
const maxStageReruns = 2

// runStages runs the stages whose results are not available yet.
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

// logCut logs that a started stream ends before it is complete, and returns err.
func (s *sender) logCut(rel *relayState, err error) error {
	if rel.out.started {
		s.h.Log.Info("stream cut", zap.String("RequestID", s.q.ID), zap.Int64("LastEvent", rel.lastEventID), zap.Int("Sends", s.q.sends))
	}
	return err
}

// streamEnd is the way in which a send of a stream ended.
type streamEnd int

const (
	// streamComplete means that the caller has the complete response.
	streamComplete streamEnd = iota
	// streamEventless means that the target gave a final response without events.
	streamEventless
	// streamBroken means that the target may have run part of the request.
	streamBroken
	// streamNotRun means that the target did not run the request.
	streamNotRun
	// streamInputsGone means that the target did not run the request because an
	// input was missing.
	streamInputsGone
)

// sendStream sends the request to t and relays the events to the caller.
func (s *sender) sendStream(ctx context.Context, t *catalog.Target, rel *relayState, p *plan) streamEnd {
	start := s.h.Clock.Now()
	s.begun = false
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := s.startStallTimer(cancel)
	defer timer.stop()
	s.h.unbegun.add(s, cancel)
	defer s.h.unbegun.remove(s)
	s.h.Balancer.Begin(t)
	resp, info, err := s.send(ctx, t, rel.hasLastEventID, rel.lastEventID)
	if err != nil {
		if r := s.recordFailure(ctx, t, err, s.h.Clock.Since(start)); r == fleet.Unreachable || r == fleet.Returned {
			return streamNotRun
		}
		return streamBroken
	}
	switch {
	case info.InputsGone:
		s.recordRejection(t, resp, info, s.h.Clock.Since(start))
		return streamInputsGone
	case info.NotRun:
		s.recordRejection(t, resp, info, s.h.Clock.Since(start))
		return streamNotRun
	case resp.Status != http.StatusOK:
		return s.readEventless(ctx, t, resp, info, start, rel)
	case !info.Signed:
		resp.Body.Close()
		s.recordFailure(ctx, t, errUnsigned, s.h.Clock.Since(start))
		return streamBroken
	}
	defer resp.Body.Close()
	return s.relayEvents(ctx, t, resp, rel, p, timer, start)
}

// readEventless reads a response that contains no events.
func (s *sender) readEventless(ctx context.Context, t *catalog.Target, resp *upstream.Response, info ResponseInfo, start time.Time, rel *relayState) streamEnd {
	body, err := resp.ReadContent(maxResponseBytes, s.memory)
	if err == nil && !info.Signed {
		err = errUnsigned
	}
	if err != nil {
		s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
		return streamBroken
	}
	s.h.Crashes.RecordAnswer(s.q.suspectSelf())
	s.possibleRuns++
	s.q.mayHaveRun = true
	s.endSend(t, resultOf(resp.Status), s.h.Clock.Since(start))
	s.lastResponse = &targetResponse{resp.Status, resp.Header, body, s.memory}
	if rel.out.started || resp.Status >= http.StatusInternalServerError && s.q.route.Repeatable() && s.possibleRuns < s.q.route.MaxTargets {
		return streamBroken
	}
	return streamEventless
}

// relayEvents relays events to the caller until the stream ends.
func (s *sender) relayEvents(ctx context.Context, t *catalog.Target, resp *upstream.Response, rel *relayState, p *plan, timer *stallTimer, start time.Time) streamEnd {
	s.possibleRuns++
	s.q.mayHaveRun = true
	events := newEventReader(resp.Body)
	var first time.Duration
	for {
		ev, err := events.next()
		if err == io.EOF {
			s.recordAnswer()
			s.recordOutputCost()
			s.endSend(t, fleet.Answered, max(first, s.h.Clock.Since(start)/2))
			return s.finishStream(resp, rel)
		}
		if err != nil {
			s.possibleRuns--
			s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
			return streamBroken
		}
		if ev.hasID && rel.hasLastEventID && ev.id <= rel.lastEventID {
			continue
		}
		if ev.hasID || ev.hasData {
			timer.reset()
			s.lease.Event()
			if first == 0 {
				first = s.h.Clock.Since(start)
				s.recordBegin()
				p.release()
				s.lease.Begun()
				s.recordFirstEventCost(first)
			}
		}
		if err := s.relayEvent(ctx, resp, rel, ev, timer); err != nil {
			s.endSend(t, fleet.Abandoned, first)
			return streamBroken
		}
	}
}

// finishStream completes the response after the stream was read to its end.
func (s *sender) finishStream(resp *upstream.Response, rel *relayState) streamEnd {
	if !rel.out.started {
		rel.out.startTargetResponse(resp.Status, streamHeader(resp))
	}
	return streamComplete
}

// relayEvent passes one event on to the caller. While it waits for a caller that reads
// slowly, the target's silence is not counted as a stall of the target.
func (s *sender) relayEvent(ctx context.Context, resp *upstream.Response, rel *relayState, ev event, timer *stallTimer) error {
	if !rel.out.started {
		s.q.timeToFirstEvent = s.h.Clock.Since(s.q.arrived)
		rel.out.startTargetResponse(resp.Status, streamHeader(resp))
		rel.events = startEventWriter(rel.out.w, s.h.limits.StreamBufferBytes, s.h.streamMemory)
	}
	ok, err := rel.events.tryPut(ev.raw)
	if err == nil && !ok {
		timer.suspend()
		err = rel.events.put(ctx, ev.raw)
		timer.reset()
	}
	if err != nil {
		return err
	}
	s.q.eventCount++
	s.q.lastEventAt = s.h.Clock.Now()
	if ev.hasID {
		rel.lastEventID, rel.hasLastEventID = ev.id, true
	}
	return nil
}

// streamHeader returns the header of a stream's response without its length, which
// is unknown since the stream may end at another target.
func streamHeader(resp *upstream.Response) http.Header {
	header := resp.Header.Clone()
	header.Del("Content-Length")
	return header
}
