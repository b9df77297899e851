// Package workspace limits what each workspace may use: how many requests of
// it are admitted when capacity is short, and how many extra attempts it may
// cost.
package workspace

import (
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// Outlooks says what the queues would make of an attempt.
type WaitEstimator interface {
	Outlook(a *queue.Ask) queue.Outlook
}

var _ WaitEstimator = (*queue.Dispatcher)(nil)

// Admission decides whether a request is taken at all, by what the queues of
// its stages last said. It refuses what would surely be late before anything of
// it runs, and a workspace beyond its share before one within. Exported fields
// are set before the first call.
type Admission struct {
	Clock  *clock.Service
	Queues WaitEstimator
}

// Admit takes a request or refuses it with a *result.Error that says that
// nothing ran. The caller calls release once the request has ended.
func (a *Admission) Admit(w *declaration.Workspace, p *declaration.Pipeline, priority int, deadline time.Time) (release func(), err error) {
	left := deadline.Sub(a.Clock.Now())
	var least, wait time.Duration
	over := false
	for i := range p.Stages {
		s := &p.Stages[i]
		o := a.Queues.Outlook(&queue.Ask{Workspace: w.Name, Pipeline: p.Name, Stage: s.Name, Pool: s.Pool, Model: s.Model, Priority: priority})
		least += o.Least
		wait += o.Wait
		over = over || o.Over
	}
	switch {
	case least > left:
		return nil, result.NotRun(result.DeadlineTooShort, "the stages take at least %v, and %v is left", least, left)
	case least+wait > left:
		return nil, retryLater(result.Overloaded, wait, "the queues are longer than the time left")
	case over && least+wait > left/2:
		return nil, retryLater(result.OverShare, wait, "the workspace is beyond its share")
	}
	return func() {}, nil
}

// later is a refusal with the time after which a repeat may succeed.
func retryLater(code result.Code, retry time.Duration, message string) error {
	e := result.NotRun(code, "%s", message)
	e.RetryAfter = retry
	return e
}
