// Package pipeline runs the stages of a request, each at one target, under the
// deadline of the whole. A Runner executes a Request stage by stage; each stage
// makes attempts until one gives a whole answer or none may follow. What may
// follow a failed attempt is decided in retry.go: a stage of an idempotent pool
// is rerun at another target or resumed at the same one, a stage of a
// non-idempotent pool is sent at most once. Requests through a non-idempotent
// pool are claimed first, see claimed.go.
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
	// Key is the idempotency key; a non-idempotent pipeline needs one.
	Key string
	// Digest identifies pipeline and body, BodyDigest the body alone.
	Digest     string
	BodyDigest string
	Input      json.RawMessage
	// Emit, unless nil, gets the text of the last stage as it comes. Its error
	// means that the caller is gone.
	Emit func(data string) error
	// OnEnd, unless nil, is called when nothing of the request is under way any
	// more, which for a claimed request may be after Run has returned.
	OnEnd func()
}

func (req *Request) end() {
	if req.OnEnd != nil {
		req.OnEnd()
	}
}

// Runner runs requests. Exported fields are set before the first Run.
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

// Run executes req and returns its answer, of which the caller fills RequestID
// and Took.
func (r *Runner) Run(ctx context.Context, req *Request) *caller.Answer {
	if r.Crashes.Blocked(req.BodyDigest) {
		req.end()
		return NewAnswer(nil, "", result.NotRun(result.CrashSuspect, "earlier sends of this body broke %d targets", crash.MaxTargets))
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

// Answer builds the answer that ends a request with output or err.
func NewAnswer(stages []caller.StageReport, output string, err error) *caller.Answer {
	a := &caller.Answer{Stages: stages, Ran: result.RanYes, Output: output}
	if e := result.From(err); e != nil {
		a.Code, a.Ran, a.Message, a.Place, a.RetryAfter = e.Code, e.Ran, e.Message, e.Place, e.RetryAfter
		a.Output = ""
	}
	a.Name = a.Code.String()
	return a
}
