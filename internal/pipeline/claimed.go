package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Times that apply when the outcome of a claimed request is recorded.
const (
	// recordTimeout bounds the attempts to record the outcome.
	recordTimeout = 30 * time.Second
	// recordWait is how long the caller's answer is held back until the outcome
	// is recorded, so that a repeat sent after the answer finds the record.
	recordWait = time.Second
	// claimRetryAfter is the Retry-After time when the log service gave no
	// verdict.
	claimRetryAfter = 2 * time.Second
)

// runClaimed runs a request through a non-idempotent pool. Once its claim on the
// key is the first, the request runs to completion even if its caller goes away,
// and its outcome is recorded for repeats of the key.
func (r *Runner) runClaimed(ctx context.Context, req *Request) *caller.Answer {
	c := claim.Request{Workspace: req.Workspace.Name, Key: req.Key, Digest: req.Digest, AttemptID: uuid.NewString(), Until: req.Deadline}
	claimCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	verdict, err := r.Claims.Claim(claimCtx, c)
	cancel()
	if err != nil {
		req.end()
		return NewAnswer(nil, "", noVerdictResult(err))
	}
	switch v := verdict.(type) {
	case claim.First:
		return r.runFirst(ctx, req, c)
	case claim.Repeat:
		req.end()
		return repeatAnswer(v.Outcome)
	case claim.Refused:
		req.end()
		return NewAnswer(nil, "", v.Result)
	default:
		panic("pipeline: unexpected verdict")
	}
}

// noVerdictResult returns the refusal of a request whose claim has no verdict.
func noVerdictResult(err error) *result.Error {
	var known *result.Error
	if errors.As(err, &known) && known.Ran == result.RanNo {
		return known
	}
	e := result.NotRun(result.LogUnavailable, "no verdict on the idempotency key: %v", err)
	e.RetryAfter = claimRetryAfter
	return e
}

// repeatAnswer returns the answer to a repeat of a key that has an outcome.
func repeatAnswer(o claim.Outcome) *caller.Answer {
	a := &caller.Answer{}
	if o.Stored && json.Unmarshal(o.Answer, a) == nil {
		a.Repeated = true
		return a
	}
	a.Code, a.Ran, a.Message, a.Repeated = o.Code, o.Ran, o.Message, true
	if o.Code == result.OK {
		a.Code, a.Ran = result.OutcomeUnknown, result.RanYes
		a.Message = "the request completed, but its answer was too large to store"
	}
	a.Name = a.Code.String()
	return a
}

// runFirst executes a request whose claim is the first on its key.
func (r *Runner) runFirst(ctx context.Context, req *Request, c claim.Request) *caller.Answer {
	x := &execution{Runner: r, req: req, claim: &c, emitter: emitter{emit: ignoreEmitErrors(req.Emit)}}
	defer x.emitter.close()
	answers := make(chan *caller.Answer, 1)
	go func() {
		defer req.end()
		r.finishFirst(context.WithoutCancel(ctx), x, c, answers)
	}()
	late, stop := r.Clock.After(req.Deadline.Sub(r.Clock.Now()))
	defer stop()
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return NewAnswer(nil, "", result.Failed(result.Cancelled, "the caller disconnected; the request continues"))
	case <-late:
		return NewAnswer(nil, "", result.Failed(result.DeadlineExceeded, "the request continues; a repeat with the same key gets its outcome"))
	}
}

// ignoreEmitErrors wraps emit so that a claimed request continues when its
// caller can't be reached.
func ignoreEmitErrors(emit func(string) error) func(string) error {
	if emit == nil {
		return nil
	}
	return func(data string) error {
		emit(data)
		return nil
	}
}

// finishFirst runs x to completion, records the outcome and sends the answer.
func (r *Runner) finishFirst(ctx context.Context, x *execution, c claim.Request, answers chan<- *caller.Answer) {
	runCtx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	a := x.answer(x.run(runCtx))
	cancel()
	a.RequestID = x.req.ID
	recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		r.record(recordCtx, x, c, a)
	}()
	waited, stop := r.Clock.After(min(recordWait, x.req.Deadline.Sub(r.Clock.Now())/2))
	defer stop()
	select {
	case <-recorded:
	case <-waited:
	}
	answers <- a
	<-recorded
}

// record stores the outcome. If no stage that may not be repeated was sent, it
// releases the claim instead, so that a repeat of the key may run.
func (r *Runner) record(ctx context.Context, x *execution, c claim.Request, a *caller.Answer) {
	var err error
	if x.nonIdempotentSent.Load() {
		err = r.Claims.Finish(ctx, c, claimOutcome(a))
	} else {
		err = r.Claims.Release(ctx, c)
	}
	if err != nil {
		r.Log.Warn("claimed request outcome not recorded", zap.String("RequestID", x.req.ID),
			zap.String("Workspace", x.req.Workspace.Name), zap.Stringer("Code", a.Code), zap.Error(err))
	}
}

func claimOutcome(a *caller.Answer) claim.Outcome {
	o := claim.Outcome{Code: a.Code, Ran: a.Ran, Message: a.Message}
	data, err := json.Marshal(a)
	if err == nil {
		o.Answer, o.Stored = data, true
	}
	return o
}
