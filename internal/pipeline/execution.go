package pipeline

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// execution is one run of a request through its stages.
type execution struct {
	*Runner
	req     *Request
	emitter emitter
	// claim is the first claim on the key of a non-idempotent request, else nil.
	claim   *claim.Request
	reports []caller.StageReport

	// sent is set before the first byte of any attempt may reach a target.
	sent atomic.Bool
	// nonIdempotentSent is set before the first byte of a stage that may not be
	// repeated may reach a target.
	nonIdempotentSent atomic.Bool
}

// run executes the stages in order and returns the output of the last. Its
// error is a *result.Error.
func (x *execution) run(ctx context.Context) (string, error) {
	previous := ""
	for i := range x.req.Pipeline.Stages {
		out, err := x.runStage(ctx, i, previous)
		if err != nil {
			return "", err
		}
		previous = out
	}
	x.Crashes.Clear(x.req.BodyDigest)
	return previous, nil
}

func (x *execution) answer(output string, err error) *caller.Answer {
	return NewAnswer(x.reports, output, err)
}

// stageRun is one stage of an execution.
type stageRun struct {
	stage *declaration.Stage
	// last reports whether the stage's output goes to the caller.
	last bool
	// repeatable reports whether the stage may be sent more than once.
	repeatable     bool
	previousOutput string

	// exclude names the targets already used by attempts of the stage.
	exclude []string
	report  caller.StageReport

	// mu guards report, exclude, running and the attempts' sentAt while attempts run
	// concurrently.
	mu sync.Mutex
	// running holds the attempts that have not ended.
	running []*attempt
}

func (x *execution) newStage(i int, previous string) *stageRun {
	s := &x.req.Pipeline.Stages[i]
	pool := x.req.View.Pools[s.Pool]
	return &stageRun{
		stage:          s,
		last:           i == len(x.req.Pipeline.Stages)-1,
		repeatable:     pool == nil || !pool.NonIdempotent,
		previousOutput: previous,
		report:         caller.StageReport{Stage: s.Name},
	}
}

// runStage makes attempts until one succeeds or no further one is allowed.
func (x *execution) runStage(ctx context.Context, i int, previous string) (string, error) {
	st := x.newStage(i, previous)
	defer func() { x.reports = append(x.reports, st.summary()) }()
	var failed error
	for {
		g, err := x.acquire(ctx, st)
		if err != nil {
			return "", x.noGrantResult(ctx, err, failed)
		}
		a := x.runHedged(ctx, st, g)
		if a.err == nil {
			return a.text(), nil
		}
		switch n := x.nextStep(ctx, st, a).(type) {
		case rerun:
			failed = n.failed
		case resolved:
			return n.output, nil
		case giveUp:
			return "", n.err
		}
	}
}

// acquire waits for a grant for one attempt of st.
func (x *execution) acquire(ctx context.Context, st *stageRun) (*queue.Grant, error) {
	start := x.Clock.Now()
	g, err := x.Dispatcher.Acquire(ctx, x.slotRequest(st))
	st.mu.Lock()
	defer st.mu.Unlock()
	st.report.Queued += x.Clock.Since(start)
	return g, err
}

// summary returns a copy of the report so far; the losing attempt of a hedge may
// still be running.
func (st *stageRun) summary() caller.StageReport {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.report
}

// noGrantResult returns the result of a stage that got no slot. If an earlier
// attempt failed, the result is that failure.
func (x *execution) noGrantResult(ctx context.Context, err, failed error) error {
	e := result.From(err)
	switch {
	case failed != nil:
		return failed
	case !x.sent.Load() || e.Ran != result.RanNo && e.Code != result.StageFailed:
		return e
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Failed(result.DeadlineExceeded, "%s", e.Message)
	}
	return result.Failed(result.StageFailed, "%s", e.Message)
}

// emitter passes the text of the last stage to the caller, in order and exactly
// once, whichever attempt produces it.
type emitter struct {
	mu        sync.Mutex
	emit      func(string) error
	delivered strings.Builder
	closed    bool
}

// diverged is the error of an attempt whose text differs from what the caller
// already received.
type diverged struct{}

// Error returns the message.
func (diverged) Error() string { return "the text differs from the part the caller already received" }

// callerGone is the error of an attempt whose text can't be delivered.
type callerGone struct{ err error }

// Error returns the message, which ends with that of the write.
func (c callerGone) Error() string { return "cannot deliver text to the caller: " + c.err.Error() }

// offer delivers the part of data that the caller does not have yet. Data
// starts at position pos in the text of one attempt; each attempt offers its
// text in order.
func (e *emitter) offer(pos int, data string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.emit == nil || e.closed {
		return nil
	}
	given := e.delivered.String()
	known := min(len(given)-pos, len(data))
	if given[pos:pos+known] != data[:known] {
		return diverged{}
	}
	rest := data[known:]
	if rest == "" {
		return nil
	}
	e.delivered.WriteString(rest)
	if err := e.emit(rest); err != nil {
		return callerGone{err}
	}
	return nil
}

// started reports whether any text has been delivered to the caller.
func (e *emitter) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delivered.Len() > 0
}

// close discards all further text; emit is not called after close returns.
func (e *emitter) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
}
