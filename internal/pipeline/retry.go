package pipeline

import (
	"context"
	"errors"
	"net/http"

	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/result"
)

// maxAttempts bounds the attempts of one stage, including those that were not
// sent.
const maxAttempts = 8

// step is the action that follows a failed attempt.
type step interface{ isStep() }

// rerun makes another attempt at another target. If there is no other target,
// failed is the result.
type rerun struct{ failed *result.Error }

// resolved ends the stage with the output that the target returned when asked by
// key.
type resolved struct{ output string }

// giveUp ends the request with err.
type giveUp struct{ err *result.Error }

func (rerun) isStep()    {}
func (resolved) isStep() {}
func (giveUp) isStep()   {}

// nextStep decides what follows the failed attempt a.
func (x *execution) nextStep(ctx context.Context, st *stageRun, a *attempt) step {
	failed := x.failureResult(ctx, st, a)
	switch {
	case ctx.Err() != nil && (st.repeatable || isNotSent(a.err)):
		return giveUp{failed}
	case errors.As(a.err, &callerGone{}):
		return giveUp{failed}
	case isNotSent(a.err) && x.Crashes.Blocked(x.req.BodyDigest):
		return giveUp{x.blockedResult(a)}
	case isNotSent(a.err):
		return x.rerunOrGiveUp(st, failed)
	case !st.repeatable:
		return x.resolveByKey(ctx, st, a, failed)
	case x.Crashes.Blocked(x.req.BodyDigest):
		return giveUp{x.blockedResult(a)}
	case isPermanentFailure(a.err), !x.RetryBudget.Take(x.req.Workspace.Name, x.expectedTime(a.grant)):
		return giveUp{failed}
	}
	return x.rerunOrGiveUp(st, failed)
}

// blockedResult returns the result of a request whose body broke too many
// targets.
func (x *execution) blockedResult(a *attempt) *result.Error {
	if !x.sent.Load() {
		return result.NotRun(result.CrashSuspect, "%v", a.err)
	}
	return result.Failed(result.CrashedTargets, "%v", a.err)
}

func (x *execution) rerunOrGiveUp(st *stageRun, failed *result.Error) step {
	if st.report.Attempts >= maxAttempts {
		return giveUp{failed}
	}
	return rerun{failed}
}

// isPermanentFailure reports whether the target rejected the run itself, so that
// any other target would reject it too.
func isPermanentFailure(err error) bool {
	var f *target.Failure
	if !errors.As(err, &f) {
		return false
	}
	return f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && f.Status != http.StatusTooManyRequests
}

// failureResult returns the result of the request if no step follows a. It says
// that nothing ran only if no byte of the whole request was sent.
func (x *execution) failureResult(ctx context.Context, st *stageRun, a *attempt) *result.Error {
	if !x.sent.Load() {
		if ctx.Err() != nil {
			return result.NotRun(result.Overloaded, "no target could be reached in time: %v", a.err)
		}
		return result.NotRun(result.NoTarget, "%v", a.err)
	}
	if !st.repeatable && !isNotSent(a.err) && !isFailure(a.err) {
		return result.Failed(result.OutcomeUnknown, "%v", a.err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Failed(result.DeadlineExceeded, "%v", a.err)
	case ctx.Err() != nil, errors.As(a.err, &callerGone{}):
		return result.Failed(result.Cancelled, "%v", a.err)
	case isMalformed(a.err):
		return result.Failed(result.AnswerBroken, "%v", a.err)
	}
	return result.Failed(result.StageFailed, "%v", a.err)
}

func isFailure(err error) bool {
	var f *target.Failure
	return errors.As(err, &f)
}

func isMalformed(err error) bool {
	var attemptErr *target.AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr.Kind == target.Malformed
	}
	return errors.As(err, &diverged{})
}

// resolveByKey ends a stage that may not be sent again. A target that can be
// asked by key may know the answer. If it does not know the key, that proves
// nothing, since the run may still be in transit.
func (x *execution) resolveByKey(ctx context.Context, st *stageRun, a *attempt, failed *result.Error) step {
	if !a.grant.Target.AskByKey || isFailure(a.err) {
		return giveUp{failed}
	}
	reply, err := x.Client.Ask(context.WithoutCancel(ctx), a.grant.Target, x.req.Key)
	if err != nil || !reply.Ran {
		return giveUp{failed}
	}
	if st.last && x.emitter.offer(0, reply.Answer) != nil {
		return giveUp{failed}
	}
	return resolved{reply.Answer}
}

// resume continues an interrupted attempt at its own target, under the same
// grant, if part of its text has reached the caller.
func (x *execution) resume(ctx context.Context, st *stageRun, a *attempt) {
	if !isInterrupted(a.err) || !st.repeatable || !x.emitter.started() || ctx.Err() != nil {
		return
	}
	if x.Crashes.Blocked(x.req.BodyDigest) || !x.RetryBudget.Take(x.req.Workspace.Name, x.expectedTime(a.grant)) {
		return
	}
	m := x.runMessage(st, a.grant.AttemptID)
	m.ResumeFrom = a.nextSeq
	x.send(ctx, st, a, m)
}

// isInterrupted reports whether err means that, after the send, the connection
// broke or the answer was malformed.
func isInterrupted(err error) bool {
	var attemptErr *target.AttemptError
	return errors.As(err, &attemptErr) && (attemptErr.Kind == target.ConnectionLost || attemptErr.Kind == target.Malformed)
}
