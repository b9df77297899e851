package pipeline

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/target"
	"go.uber.org/zap"
)

// attempt is one run of a stage at one target, with its result.
type attempt struct {
	grant *queue.Grant
	data  strings.Builder
	// nextSeq is the sequence number of the next expected piece.
	nextSeq int
	// sentAt is zero until the send begins. It is written under the stage's mu, as
	// other attempts of the stage read it.
	sentAt time.Time
	// firstPiece is zero until a piece arrives.
	firstPiece time.Duration
	// extra reports whether the stage had an earlier attempt.
	extra bool
	// err is nil after a complete answer, otherwise a *target.AttemptError, a
	// *target.Failure, a withdrawn, a diverged or a callerGone.
	err error
}

func (a *attempt) text() string { return a.data.String() }

// lateAnswerTimeout is how long after the caller's deadline the answer of a
// stage that may not be repeated is still awaited.
const lateAnswerTimeout = 10 * time.Second

// runAttempt runs st once at the target of g and releases g. Attempts of one
// stage may run concurrently; the emitter keeps their output to the caller in
// order. When ctx ends, the attempt is cancelled at the target, unless the stage
// may not be repeated.
func (x *execution) runAttempt(ctx context.Context, st *stageRun, g *queue.Grant) *attempt {
	a := &attempt{grant: g}
	st.addAttempt(a)
	if !st.repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), x.req.Deadline.Add(lateAnswerTimeout))
		defer cancel()
	}
	x.send(ctx, st, a, x.runMessage(st, g.AttemptID))
	x.resume(ctx, st, a)
	if a.err != nil && st.repeatable && !isNotSent(a.err) {
		x.Client.Cancel(g.Target, g.AttemptID)
	}
	o := a.outcome(x.Clock.Now())
	x.Dispatcher.Done(g, o)
	if a.err == nil {
		x.RetryBudget.Earn(x.req.Workspace.Name, o.Took)
	}
	st.removeAttempt(a)
	return a
}

// removeAttempt removes a, which has ended, from the running attempts.
func (st *stageRun) removeAttempt(a *attempt) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.running = slices.DeleteFunc(st.running, func(o *attempt) bool { return o == a })
}

// addAttempt counts a and excludes its target from further attempts of st.
func (st *stageRun) addAttempt(a *attempt) {
	st.mu.Lock()
	defer st.mu.Unlock()
	name := a.grant.Target.Name
	a.extra = st.report.Attempts > 0
	st.running = append(st.running, a)
	st.report.Attempts++
	st.report.Target = name
	st.exclude = append(st.exclude[:len(st.exclude):len(st.exclude)], name)
}

// markStarted records that the send of a begins at now.
func (st *stageRun) markStarted(a *attempt, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	a.sentAt = now
}

// withdrawn is the error of an attempt that this host decided not to send after
// its slot was granted.
type withdrawn struct{ reason string }

// Error returns the message, which names the reason.
func (w withdrawn) Error() string { return "not sent: " + w.reason }

// send sends m and collects the answer in a.
func (x *execution) send(ctx context.Context, st *stageRun, a *attempt, m *contract.Run) {
	permit, err := x.mayStart(ctx, st, a, m)
	if err != nil {
		a.err = err
		return
	}
	a.err = x.Client.Run(ctx, &target.Attempt{
		Target:  a.grant.Target,
		Run:     m,
		OnSend:  func() { x.markSent(st) },
		OnPiece: func(p contract.Piece) error { return x.addPiece(st, a, p) },
	})
	st.recordRun(a, x.Clock.Since(a.sentAt))
	lost := isConnectionLost(a.err)
	x.Crashes.End(ctx, permit, lost)
	if a.err == nil {
		return
	}
	x.Log.Info("attempt failed", zap.String("RequestID", x.req.ID), zap.String("Workspace", x.req.Workspace.Name),
		zap.String("Stage", st.stage.Name), zap.String("Target", a.grant.Target.Name), zap.Error(a.err))
}

// markSent records that bytes of st may reach a target from now on.
func (x *execution) markSent(st *stageRun) {
	x.sent.Store(true)
	if !st.repeatable {
		x.nonIdempotentSent.Store(true)
	}
}

// mayStart checks, directly before the send, the conditions that may have
// changed while the attempt waited for its grant. The caller passes the permit
// to Crashes.End.
func (x *execution) mayStart(ctx context.Context, st *stageRun, a *attempt, m *contract.Run) (*crash.Permit, error) {
	run := crash.Run{Digest: x.req.BodyDigest, Target: a.grant.Target.Name, AttemptID: a.grant.AttemptID, Until: x.req.Deadline}
	permit, err := x.Crashes.Begin(ctx, run)
	if err != nil {
		return nil, withdrawn{err.Error()}
	}
	known := x.Targets.MayStart(ctx, a.grant.Target.Name)
	st.markStarted(a, x.Clock.Now())
	m.TimeLeft = x.req.Deadline.Sub(a.sentAt)
	reason := ""
	switch {
	case !known:
		reason = fmt.Sprintf("target %s is or may be leaving", a.grant.Target.Name)
	case m.TimeLeft <= 0:
		reason = "the deadline has passed"
	case x.claim != nil && !x.nonIdempotentSent.Load() && !x.claim.Valid(a.sentAt):
		reason = "the claim is no longer valid"
	default:
		return permit, nil
	}
	x.Crashes.End(ctx, permit, false)
	return nil, withdrawn{reason}
}

// addPiece appends a piece to a and, in the last stage, offers it to the caller.
func (x *execution) addPiece(st *stageRun, a *attempt, p contract.Piece) error {
	if a.firstPiece == 0 {
		a.firstPiece = x.Clock.Since(a.sentAt)
	}
	pos := a.data.Len()
	a.data.WriteString(p.Data)
	a.nextSeq = p.Seq + 1
	if p.End {
		st.addCost(a, p)
	}
	if st.last {
		return x.emitter.offer(pos, p.Data)
	}
	return nil
}

func (st *stageRun) addCost(a *attempt, p contract.Piece) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.report.Cost += p.Cost
	if a.extra {
		st.report.Extra += p.Cost
	}
	st.report.PromptTokens += p.PromptTokens
	st.report.CachedTokens += p.CachedTokens
}

// recordRun adds the run time of a to the report, and names its target if a
// succeeded.
func (st *stageRun) recordRun(a *attempt, took time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.report.Ran += took
	if a.err == nil {
		st.report.Target = a.grant.Target.Name
	}
}

// outcome returns the outcome of a that is reported to the dispatcher.
func (a *attempt) outcome(now time.Time) queue.Outcome {
	o := queue.Outcome{Kind: queue.Failed, FirstPiece: a.firstPiece}
	if !a.sentAt.IsZero() {
		o.Took = now.Sub(a.sentAt)
	}
	var attemptErr *target.AttemptError
	switch {
	case a.err == nil:
		o.Kind = queue.Succeeded
	case errors.As(a.err, &attemptErr):
		o.Kind = attemptErrorOutcome(attemptErr.Kind)
	case errors.As(a.err, &withdrawn{}), errors.As(a.err, &callerGone{}), errors.As(a.err, &diverged{}):
		o.Kind = queue.Abandoned
	}
	return o
}

func attemptErrorOutcome(k target.AttemptErrorKind) queue.OutcomeKind {
	if k == target.Cancelled {
		return queue.Abandoned
	}
	return queue.BrokeTarget
}

// isNotSent reports whether err means that nothing of the attempt reached its
// target.
func isNotSent(err error) bool {
	var attemptErr *target.AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr.Kind == target.NotSent
	}
	return errors.As(err, &withdrawn{})
}

// isConnectionLost reports whether err means that the connection broke during
// the attempt.
func isConnectionLost(err error) bool {
	var attemptErr *target.AttemptError
	return errors.As(err, &attemptErr) && attemptErr.Kind == target.ConnectionLost
}
