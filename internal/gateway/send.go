package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// Limits on the sends of one request.
const (
	// MaxSends is the maximum number of sends of a request, including those that
	// no target accepted.
	MaxSends = 4
	// maxResponseBytes is the maximum size of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// Retry delays for callers: overloadedRetry if no target had capacity,
	// noTargetRetry if none was known, noTableRetry while the host has no
	// configuration, or none by which it can serve the route.
	overloadedRetry = 200 * time.Millisecond
	noTargetRetry   = 500 * time.Millisecond
	noTableRetry    = 2 * time.Second
)

// sender sends one request to targets, one after another.
type sender struct {
	h     *Host
	q     *request
	tried map[string]bool
	// arrivals is the number of sends that may have reached a target.
	arrivals int
	// possibleRuns is the number of targets that may have run the request.
	possibleRuns int
	// lastResponse is the response of a target that a further send may replace with a
	// better one.
	lastResponse *targetResponse
	// inputs are the handles of the stage results that the request reads.
	// inputsDomain is the failure domain that holds the large ones, if any.
	inputs       []string
	inputsDomain string
	// lease is the current send at the holder that chose its target, or nil if this
	// host chose it.
	lease *placement.Lease
	// noTurnFor is the time until a request may go to a target, if none may now.
	noTurnFor time.Duration
	// turnLost is set if the chosen target took no requests any more when the turn of
	// the request there had come.
	turnLost bool
	// lostTurnsAt holds the targets at which the request lost its turn while it was being
	// sent. lostTurns is the number of those turns.
	lostTurnsAt []string
	lostTurns   int
	// turn is that of the current send.
	turn backpressure.Turn
	// choosesHere is set once the holder has chosen a cold target as if it were warm.
	choosesHere bool
	// blockedSuspect is that for which the request must not be sent any more, or zero.
	blockedSuspect crash.Suspect
	// begun is set once the current send has brought its first event.
	begun bool
	// memory accounts for the large responses that are not streams.
	memory *memory.Allowance
}

// targetResponse is a target's complete response.
type targetResponse struct {
	status int
	header http.Header
	body   *upstream.Content
	// memory is the allowance of the body.
	memory *memory.Allowance
}

// newSender returns a sender of q. Its memory must be released.
func (h *Host) newSender(q *request) *sender {
	return &sender{h: h, q: q, tried: map[string]bool{}, memory: h.ResponseMemory.NewAllowance()}
}

// nextTarget returns the target of the next send, or nil. Every send after one that
// may have arrived draws on the shared budget of repeats.
func (s *sender) nextTarget(ctx context.Context) *catalog.Target {
	if s.isBlocked() || s.q.sends >= MaxSends || s.possibleRuns >= max(1, s.q.route.MaxTargets) {
		return nil
	}
	t := s.chooseTarget(ctx)
	if t == nil && s.forgetLostTurns(ctx) {
		t = s.chooseTarget(ctx)
	}
	if t == nil {
		return nil
	}
	if s.arrivals > 0 && !s.h.Repeats.Take(s.q.service) {
		s.lease.End(placement.Abandoned)
		s.h.Log.Info("repeat refused by the budget", zap.String("RequestID", s.q.ID), zap.String("Service", s.q.service), zap.Int("Sends", s.q.sends))
		return nil
	}
	s.q.sends++
	s.q.target = t.ID
	s.tried[t.ID] = true
	return t
}

// endSend records the outcome of a send to t.
func (s *sender) endSend(t *catalog.Target, r fleet.Result, took time.Duration) {
	if r != fleet.Unreachable {
		s.arrivals++
	}
	s.h.Balancer.End(t, r, took)
	s.lease.End(progressOf[r])
}

// progressOf maps the outcome of a send to the progress that the load table takes.
var progressOf = [...]placement.Progress{
	fleet.Answered:    placement.Answered,
	fleet.Failed:      placement.Failed,
	fleet.Unreachable: placement.Failed,
	fleet.Rejected:    placement.Rejected,
	fleet.Abandoned:   placement.Abandoned,
	fleet.Returned:    placement.Abandoned,
}

// send sends the request to t and returns the response with its body unread.
func (s *sender) send(ctx context.Context, t *catalog.Target, resumes bool, after int64) (*upstream.Response, ResponseInfo, error) {
	q := s.q
	header := s.h.Format.RequestHeader(q.header, ForwardInfo{
		Target:      t.ID,
		Workspace:   q.workspace,
		TimeLeft:    q.deadline.Sub(s.h.Clock.Now()),
		Inputs:      s.inputs,
		Resumes:     resumes,
		ResumeAfter: after,
		SendsRank:   s.h.Settings.SendPriorities && len(q.Prompt) > 0,
		Rank:        q.priority,
	})
	sentAt := s.h.Clock.Now()
	s.h.Backpressure.LogSend(t, q.ID)
	resp, err := s.h.Upstream.Do(ctx, t.Addr, &upstream.Request{
		Method:  q.method,
		URI:     q.uri,
		Host:    q.host,
		Header:  header,
		Content: q.body.reader(),
		Length:  q.body.size,
		Matches: func(h http.Header) bool { return s.h.Format.ParseResponse(0, h).ID == q.ID },
		Permit:  func() error { return s.permit(t) },
		NewConn: q.route.Kind != catalog.Safe,
	})
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	info := s.h.Format.ParseResponse(resp.Status, resp.Header)
	s.h.Backpressure.Observe(t, sentAt, info.Signal)
	return resp, info, nil
}

// recordFailure records a send without a usable response and returns its outcome.
func (s *sender) recordFailure(ctx context.Context, t *catalog.Target, err error, took time.Duration) fleet.Result {
	if isStopped(err) {
		s.recordStopped(t, err)
		return fleet.Returned
	}
	r := fleet.Failed
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil:
		r = fleet.Unreachable
	case errors.Is(err, upstream.ErrNotSent):
		r = fleet.Abandoned
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		r = fleet.Abandoned
		s.possibleRuns++
		s.q.mayHaveRun = true
		if errors.Is(context.Cause(ctx), errRecalled) {
			s.blockedSuspect = s.h.Crashes.BlockedSuspect(s.q.suspects)
		}
	default:
		s.possibleRuns++
		s.q.mayHaveRun = true
		if ctx.Err() == nil {
			s.recordBreak(t, err)
		}
	}
	s.endSend(t, r, took)
	s.h.Log.Info("send failed", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Stringer("Result", r),
		zap.Duration("Took", took), zap.Bool("Begun", s.begun), zap.String("Digest", s.q.digest), zap.Strings("Parts", s.q.sharedParts()), journal.Error(err))
	return r
}

// recordRejection records that t did not run the request, and why.
func (s *sender) recordRejection(t *catalog.Target, resp *upstream.Response, info ResponseInfo, took time.Duration) {
	resp.Body.Close()
	r := fleet.Rejected
	if info.InputsGone {
		r = fleet.Returned
	}
	s.endSend(t, r, took)
	s.h.Log.Info("send rejected", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.Int("Status", resp.Status), zap.Stringer("Result", r), zap.Duration("Took", took))
}

// finalError returns the error of a request that can't be sent any more.
func (s *sender) finalError(ctx context.Context) error {
	q := s.q
	timeout := errors.Is(context.Cause(ctx), errTimeout)
	switch {
	case s.blockedSuspect != crash.Suspect{} && (q.mayHaveRun || q.stagesMayHaveRun):
		return result.Failed(result.CrashedTargets, "requests with %v crashed targets, %d sends", s.blockedSuspect, q.sends)
	case s.blockedSuspect != crash.Suspect{}:
		return crashSuspect(s.blockedSuspect)
	case q.mayHaveRun && timeout, q.stagesMayHaveRun && timeout:
		return result.Failed(result.DeadlineExceeded, "deadline exceeded after %d sends", q.sends)
	case q.mayHaveRun:
		return result.Failed(result.AnswerBroken, "no target gave a complete response in %d sends", q.sends)
	case q.stagesMayHaveRun:
		return result.Failed(result.StageFailed, "stages ran, but no target accepted the request in %d sends", q.sends)
	case s.noTurnFor > 0:
		return retryLater(result.Overloaded, s.noTurnFor, "targets for service %s take no request for %v", q.service, s.noTurnFor)
	case q.sends == 0:
		return retryLater(result.NoTarget, noTargetRetry, "no usable target for service %s", q.service)
	default:
		return retryLater(result.Overloaded, overloadedRetry, "no target for service %s accepted the request in %d sends", q.service, q.sends)
	}
}

// serveSingle serves a request that has a single response rather than a stream of
// events.
func (h *Host) serveSingle(ctx context.Context, q *request, out *callerResponse) error {
	s := h.newSender(q)
	defer s.memory.Release()
	for ctx.Err() == nil {
		t := s.nextTarget(ctx)
		if t == nil {
			break
		}
		if resp := s.roundTrip(ctx, t); resp != nil {
			if resp.status < http.StatusInternalServerError || !q.route.Repeatable() {
				return resp.writeTo(out)
			}
			s.lastResponse = resp
		}
		if q.mayHaveRun && !q.route.Repeatable() {
			break
		}
	}
	if s.lastResponse != nil {
		return s.lastResponse.writeTo(out)
	}
	return s.finalError(ctx)
}

// roundTrip sends the request to t and reads the complete response. It returns nil
// if there is none.
func (s *sender) roundTrip(ctx context.Context, t *catalog.Target) *targetResponse {
	start := s.h.Clock.Now()
	s.begun = false
	s.h.Balancer.Begin(t)
	resp, info, err := s.send(ctx, t, false, 0)
	if err != nil {
		s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
		return nil
	}
	if info.NotRun {
		s.recordRejection(t, resp, info, s.h.Clock.Since(start))
		return nil
	}
	body, err := resp.ReadContent(maxResponseBytes, s.memory)
	if err == nil && !info.Signed {
		err = errUnsigned
	}
	if err != nil {
		s.recordFailure(ctx, t, err, s.h.Clock.Since(start))
		return nil
	}
	s.recordAnswer()
	s.possibleRuns++
	s.q.mayHaveRun = true
	s.endSend(t, resultOf(resp.Status), s.h.Clock.Since(start))
	return &targetResponse{resp.Status, resp.Header, body, s.memory}
}

// resultOf returns the outcome of a send that the target answered. A status that
// says that the request is at fault is no failure of the target.
func resultOf(status int) fleet.Result {
	if status >= http.StatusInternalServerError {
		return fleet.Failed
	}
	return fleet.Answered
}

// errUnsigned means that a response is not signed by a target.
var errUnsigned = errors.New("response is not signed by a target")

// writeTo writes a target's response to the caller.
func (resp *targetResponse) writeTo(out *callerResponse) error {
	out.startTargetResponse(resp.status, resp.header)
	if resp.body.Len() > upstream.UnaccountedBytes {
		out.conn.setResponse(resp.memory)
	}
	if _, err := resp.body.WriteTo(out.w); err != nil {
		return result.Failed(result.Cancelled, "writing the response: %v", err)
	}
	return nil
}
