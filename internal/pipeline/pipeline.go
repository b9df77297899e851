// Package pipeline runs the stages of a request, each at one target, under the
// deadline of the whole.
package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/internal/workspace"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/uuid"
)

// Request is an admitted request.
type Request struct {
	ID        string
	Workspace *declaration.Workspace
	Pipeline  *declaration.Pipeline
	Priority  int
	Deadline  time.Time
	Key       string
	Digest    string
	Input     json.RawMessage
	// Emit, unless nil, gets the pieces of the last stage as they come.
	Emit func(data string) error
}

// Runner runs requests. Exported fields are set before the first Run.
type Runner struct {
	Clock      *clock.Service
	Dispatcher *queue.Dispatcher
	Client     *target.Client
	Retries    *workspace.Retries
}

// Run executes the stages of req and returns the output of the last. Its error
// is a *result.Error.
func (r *Runner) Run(ctx context.Context, req *Request) (string, []caller.StageReport, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var reports []caller.StageReport
	previous := ""
	for i := range req.Pipeline.Stages {
		s := &req.Pipeline.Stages[i]
		out, report, err := r.stage(ctx, req, s, i, previous)
		reports = append(reports, report)
		if err != nil {
			return "", reports, err
		}
		previous = out
	}
	return previous, reports, nil
}

func (r *Runner) stage(ctx context.Context, req *Request, s *declaration.Stage, i int, previous string) (string, caller.StageReport, error) {
	report := caller.StageReport{Stage: s.Name, Attempts: 1}
	start := r.Clock.Now()
	g, err := r.Dispatcher.Acquire(ctx, queue.Ask{
		AttemptID:   uuid.NewString(),
		RequestID:   req.ID,
		Workspace:   req.Workspace.Name,
		Share:       req.Workspace.Share,
		Pipeline:    req.Pipeline.Name,
		Stage:       s.Name,
		Pool:        s.Pool,
		Model:       s.Model,
		Priority:    req.Priority,
		Deadline:    req.Deadline,
		PromptBytes: len(req.Input),
		First:       i == 0,
	})
	if err != nil {
		return "", report, err
	}
	sent := r.Clock.Now()
	report.Queued = sent.Sub(start)
	report.Target = g.Target.Name
	var out strings.Builder
	last := i == len(req.Pipeline.Stages)-1
	err = r.Client.Run(ctx, g.Target, r.run(req, s, g, previous), func(p contract.Piece) error {
		out.WriteString(p.Data)
		report.Cost += p.Cost
		if last && req.Emit != nil && p.Data != "" {
			return req.Emit(p.Data)
		}
		return nil
	})
	report.Ran = r.Clock.Since(sent)
	r.Dispatcher.Done(g, queue.Outcome{Took: report.Ran})
	return out.String(), report, stageError(ctx, err)
}

func (r *Runner) run(req *Request, s *declaration.Stage, g *queue.Grant, previous string) *contract.Run {
	return &contract.Run{
		AttemptID: g.AttemptID,
		RequestID: req.ID,
		Workspace: req.Workspace.Name,
		Stage:     s.Name,
		Model:     s.Model,
		Key:       req.Key,
		Priority:  req.Priority,
		TimeLeft:  req.Deadline.Sub(r.Clock.Now()),
		Input:     withPrevious(req.Input, previous),
	}
}

// withPrevious adds the output of the stage before to an input that is an
// object, as its member Previous.
func withPrevious(input json.RawMessage, previous string) json.RawMessage {
	var members map[string]json.RawMessage
	if previous == "" || json.Unmarshal(input, &members) != nil {
		return input
	}
	text, err := json.Marshal(previous)
	if err != nil {
		return input
	}
	members["Previous"] = text
	out, err := json.Marshal(members)
	if err != nil {
		return input
	}
	return out
}

func stageError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var known *result.Error
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Failed(result.DeadlineExceeded, "%v", err)
	}
	if ctx.Err() != nil {
		return result.Failed(result.Cancelled, "%v", err)
	}
	return result.Failed(result.StageFailed, "%v", err)
}
