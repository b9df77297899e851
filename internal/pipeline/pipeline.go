// Package pipeline runs the stages of a request, each at one target, under one
// deadline for the whole request. A Runner executes a Request stage by stage;
// each stage makes attempts until one gives a complete answer or no further one
// is allowed. The policy after a failed attempt is in retry.go: a stage of an
// idempotent pool is rerun at another target or resumed at the same one, a stage
// of a non-idempotent pool is sent at most once. Requests through a
// non-idempotent pool are claimed first, see claimed.go.
package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/internal/workspace"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// Request is an admitted request.
type Request struct {
	ID        string
	View      *declaration.View
	Workspace *declaration.Workspace
	Pipeline  *declaration.Pipeline
	Priority  int
	Deadline  time.Time
	// Key is the idempotency key; it is required for a non-idempotent pipeline.
	Key string
	// Digest identifies pipeline and body, BodyDigest the body alone.
	Digest     string
	BodyDigest string
	Input      json.RawMessage
	// Emit, unless nil, is called with the text of the last stage as it arrives.
	// An error means that the caller is gone.
	Emit func(data string) error
	// OnEnd, unless nil, is called when the request has no more work in progress,
	// which for a claimed request may be after Run has returned.
	OnEnd func()
}

func (req *Request) end() {
	if req.OnEnd != nil {
		req.OnEnd()
	}
}

// Runner runs requests. Its exported fields must be set before the first Run.
type Runner struct {
	Clock       *clock.Service
	Dispatcher  *queue.Dispatcher
	Targets     *target.Registry
	Client      *target.Client
	RetryBudget *workspace.RetryBudget
	Claims      claim.Claimer
	Crashes     *crash.Table
	Log         *zap.Logger
}

// Run executes req and returns its answer. The caller sets the answer's RequestID
// and Took.
func (r *Runner) Run(ctx context.Context, req *Request) *caller.Answer {
	if r.Crashes.Blocked(req.BodyDigest) {
		req.end()
		return NewAnswer(nil, "", result.NotRun(result.CrashSuspect, "earlier attempts with this body broke %d targets", crash.MaxTargets))
	}
	if req.View.NonIdempotent(req.Pipeline) {
		return r.runClaimed(ctx, req)
	}
	defer req.end()
	x := &execution{Runner: r, req: req, emitter: emitter{emit: req.Emit}}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return x.answer(x.run(ctx))
}

// NewAnswer returns the final answer of a request that ended with output or err.
func NewAnswer(stages []caller.StageReport, output string, err error) *caller.Answer {
	a := &caller.Answer{Stages: stages, Ran: result.RanYes, Output: output}
	if e := result.From(err); e != nil {
		a.Code, a.Ran, a.Message, a.Place, a.RetryAfter = e.Code, e.Ran, e.Message, e.Place, e.RetryAfter
		a.Output = ""
	}
	a.Name = a.Code.String()
	return a
}
