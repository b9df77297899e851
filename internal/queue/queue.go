// Package queue decides which target runs an attempt and when. A Dispatcher is
// asked by the pipeline for each attempt, hands out a Grant of one slot and is
// told when the attempt is done. The policy is chosen in the settings.
package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// Ask describes an attempt that needs a slot.
type Ask struct {
	AttemptID string
	RequestID string
	Workspace string
	Pipeline  string
	Pool      string
	Model     string
	Priority  int
	// Deadline is the time by which this stage should end for the request to
	// meet its own deadline.
	Deadline time.Time
	// PromptBytes is the size of the input, for predictions.
	PromptBytes int
	// Prefix is a digest of the prompt's beginning, or empty.
	Prefix string
	// Exclude names targets that earlier attempts of the request used.
	Exclude []string
	// First says that nothing of the request has run, so that a refusal is honest.
	First bool
}

// Grant is the right to run one attempt at one target.
type Grant struct {
	AttemptID string
	Target    *declaration.Target
	Ask       Ask
	At        time.Time
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The kinds of outcomes.
const (
	Succeeded OutcomeKind = iota
	Failed
	BrokeTarget
	Abandoned
)

// Outcome is what the dispatcher learns when an attempt is done.
type Outcome struct {
	Kind OutcomeKind
	// Took is the time from the send to the end.
	Took time.Duration
	// FirstPiece is the time from the send to the first piece, zero for none.
	FirstPiece time.Duration
}

// Dispatcher grants slots. Exported fields are set before Run.
type Dispatcher struct {
	Clock   *clock.Service
	Targets *target.Registry
	Policy  Policy
	Rand    *rand.Rand

	mu          sync.Mutex
	outstanding map[string]int
}

// Policy is a way to choose targets.
type Policy interface{ isPolicy() }

// Random picks any usable target.
type Random struct{}

// LeastOfTwo picks the less loaded of two random targets by this host's counts.
type LeastOfTwo struct{}

func (Random) isPolicy()     {}
func (LeastOfTwo) isPolicy() {}

// Acquire waits for a slot. Its error is a *result.Error.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outstanding == nil {
		d.outstanding = map[string]int{}
	}
	usable := without(d.Targets.Usable(a.Pool, a.Model), a.Exclude)
	if len(usable) == 0 {
		return nil, refuse(a, result.NoTarget, "no usable target in pool %s", a.Pool)
	}
	t := d.choose(usable)
	d.outstanding[t.Name]++
	return &Grant{AttemptID: a.AttemptID, Target: t, Ask: a, At: d.Clock.Now()}, nil
}

func (d *Dispatcher) choose(usable []*declaration.Target) *declaration.Target {
	a := usable[d.Rand.IntN(len(usable))]
	switch d.Policy.(type) {
	case Random:
		return a
	default:
		b := usable[d.Rand.IntN(len(usable))]
		if d.outstanding[b.Name]*a.Slots < d.outstanding[a.Name]*b.Slots {
			return b
		}
		return a
	}
}

// refuse says that nothing ran only where that is true.
func refuse(a Ask, code result.Code, format string, args ...any) error {
	if a.First {
		return result.NotRun(code, format, args...)
	}
	return result.Failed(result.StageFailed, format, args...)
}

func without(targets []*declaration.Target, names []string) []*declaration.Target {
	if len(names) == 0 {
		return targets
	}
	var out []*declaration.Target
	for _, t := range targets {
		if !contains(names, t.Name) {
			out = append(out, t)
		}
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Done gives the slot of g back.
func (d *Dispatcher) Done(g *Grant, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outstanding[g.Target.Name]--
}

// Run does the dispatcher's background work until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
