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
	// spent is set before the first byte of a stage that may not be repeated.
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
	// last says that the stage's output is the caller's.
	last bool
	// repeatable says that the stage may be sent more than once.
	repeatable     bool
	previousOutput string

	// exclude names the targets that attempts of the stage used.
	exclude []string
	report  caller.StageReport

	// mu guards report, exclude and open while attempts run beside each other.
	mu sync.Mutex
	// open are the attempts that have not ended.
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

// stage makes attempts until one succeeds or none may follow.
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

// summary returns the report so far; an attempt that lost may still be ending.
func (st *stageRun) summary() caller.StageReport {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.report
}

// noGrant is the result of a stage for which no slot was granted. After a
// failed attempt that attempt is the reason.
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

// emitter hands the text of the last stage to the caller, in order and once,
// whichever attempt it comes from.
type emitter struct {
	mu        sync.Mutex
	emit      func(string) error
	delivered strings.Builder
	closed    bool
}

// diverged is the error of an attempt whose text differs from what the caller
// already has.
type diverged struct{}

// Error says what differs.
func (diverged) Error() string { return "the text differs from what the caller already has" }

// callerGone is the error of an attempt whose text can't be handed on.
type callerGone struct{ err error }

// Error names the cause.
func (c callerGone) Error() string { return "the caller is gone: " + c.err.Error() }

// offer hands on the part of data that the caller lacks. Data stands at
// position pos of the text of one attempt; the attempt offers its text in order.
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

// begun reports whether some text has reached the caller.
func (e *emitter) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delivered.Len() > 0
}

// close drops all further text; emit isn't called after it returns.
func (e *emitter) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
}
