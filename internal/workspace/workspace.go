// Package workspace limits the use of each workspace. Admission decides which of
// its requests are admitted when capacity is short, RetryBudget bounds its extra
// attempts, and RepeatBudget bounds the repeated sends to each service.
package workspace

import (
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// WaitEstimator estimates how long the queues would delay an attempt.
type WaitEstimator interface {
	EstimateWait(a *queue.SlotRequest) queue.WaitEstimate
}

var _ WaitEstimator = (*queue.Dispatcher)(nil)

// Admission decides whether a request is admitted, from the latest estimates of
// the queues of its stages. It refuses a request that would certainly miss its
// deadline before any of it runs, and refuses a workspace beyond its share
// before one within its share. Exported fields must be set before the first call.
type Admission struct {
	Clock  *clock.Service
	Queues WaitEstimator
}

// Admit admits a request or refuses it with a *result.Error which says that
// nothing ran. The caller must call release once the request has ended.
func (a *Admission) Admit(w *declaration.Workspace, p *declaration.Pipeline, priority int, deadline time.Time) (release func(), err error) {
	left := deadline.Sub(a.Clock.Now())
	var least, wait time.Duration
	over := false
	for i := range p.Stages {
		s := &p.Stages[i]
		e := a.Queues.EstimateWait(&queue.SlotRequest{Workspace: w.Name, Pipeline: p.Name, Stage: s.Name, Pool: s.Pool, Model: s.Model, Priority: priority})
		least += e.FirstDecile
		wait += e.Wait
		over = over || e.OverShare
	}
	switch {
	case least > left:
		return nil, result.NotRun(result.DeadlineTooShort, "the stages take at least %v, but only %v is left", least, left)
	case least+wait > left:
		return nil, retryLater(result.Overloaded, wait, "the queue wait exceeds the time left")
	case over && least+wait > left/2:
		return nil, retryLater(result.OverShare, wait, "the workspace is beyond its share")
	}
	return func() {}, nil
}

// retryLater returns a refusal that carries the time after which a repeat may
// succeed.
func retryLater(code result.Code, retryAfter time.Duration, message string) error {
	e := result.NotRun(code, "%s", message)
	e.RetryAfter = retryAfter
	return e
}
