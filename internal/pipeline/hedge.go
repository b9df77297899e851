package pipeline

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/queue"
)

// Times of hedges.
const (
	// hedgeFactor is how many times its expected time an attempt runs before
	// another is made beside it.
	hedgeFactor = 1.8
	// hedgeLeast is the shortest time after which a hedge is made.
	minHedgeDelay = 5 * time.Millisecond
)

// hedged runs st at the target of g. When that takes far longer than expected
// and the stage may be repeated, it runs another attempt beside it, within the
// workspace's budget, takes the first whole answer and cancels the other.
func (x *execution) runHedged(ctx context.Context, st *stageRun, g *queue.Grant) *attempt {
	delay, ok := x.hedgeDelay(st, g)
	if !ok {
		return x.runAttempt(ctx, st, g)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	hedge := make(chan *attempt, 1)
	stop := x.Clock.AfterFunc(delay, func() {
		a := x.hedge(ctx, st, g)
		if a != nil && a.err == nil {
			// The time of the first attempt was spent in vain.
			st.addAbandonedCost(x.Clock.Now())
			cancelFirst()
		}
		hedge <- a
	})
	first := x.runAttempt(firstCtx, st, g)
	switch {
	case stop():
		return first
	case first.err == nil:
		// The time of the hedge that is cancelled now is extra cost.
		st.addAbandonedCost(x.Clock.Now())
		return first
	}
	if second := <-hedge; second != nil {
		return second
	}
	return first
}

// hedgeDelay returns when to hedge an attempt, and false for never. Long work
// isn't hedged: it would cost more than it saves.
func (x *execution) hedgeDelay(st *stageRun, g *queue.Grant) (time.Duration, bool) {
	if !st.repeatable || g.Long || x.emitter.started() {
		return 0, false
	}
	expected := x.expectedTime(g)
	if expected == 0 {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(expected))), true
}

// expected is the predicted time of an attempt, or zero if nothing is known.
func (x *execution) expectedTime(g *queue.Grant) time.Duration {
	if g.Expected > 0 {
		return g.Expected
	}
	if _, high, ok := x.Dispatcher.Quantiles(&g.Ask); ok {
		return high
	}
	return 0
}

// hedge makes the second attempt, or returns nil when the budget, the text that
// the caller has or the queue does not allow one.
func (x *execution) hedge(ctx context.Context, st *stageRun, g *queue.Grant) *attempt {
	// The price is the hedge and what the first attempt took in vain.
	price := time.Duration((hedgeFactor + 1) * float64(x.expectedTime(g)))
	if x.emitter.started() || !x.RetryBudget.TakeHedge(x.req.Workspace.Name, price) {
		return nil
	}
	second, err := x.Dispatcher.Acquire(ctx, x.slotRequest(st))
	if err != nil {
		return nil
	}
	return x.runAttempt(ctx, st, second)
}

// abandon adds the time of the attempt that has not ended to the extra cost.
func (st *stageRun) addAbandonedCost(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, a := range st.running {
		if !a.sentAt.IsZero() {
			st.report.Cost += now.Sub(a.sentAt)
			st.report.Extra += now.Sub(a.sentAt)
		}
	}
}
