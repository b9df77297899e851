package pipeline

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/queue"
)

// Parameters that decide when an attempt is hedged.
const (
	// hedgeFactor is the multiple of its expected time that an attempt runs
	// before a second one is started alongside it.
	hedgeFactor = 1.8
	// minHedgeDelay is the shortest delay before a hedge starts.
	minHedgeDelay = 5 * time.Millisecond
)

// runHedged runs st at the target of g. When that takes far longer than expected
// and the stage may be repeated, it starts a second attempt concurrently, within
// the workspace's budget, takes the first complete answer and cancels the other
// attempt.
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
			// The time of the first attempt was wasted.
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
		// The time of the hedge, which is cancelled now, is extra cost.
		st.addAbandonedCost(x.Clock.Now())
		return first
	}
	if second := <-hedge; second != nil {
		return second
	}
	return first
}

// hedgeDelay returns the delay before an attempt is hedged, and false if it must
// not be hedged. Long work isn't hedged: it would cost more than it saves.
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

// expectedTime returns the predicted time of an attempt, or zero if there is no
// prediction.
func (x *execution) expectedTime(g *queue.Grant) time.Duration {
	if g.Expected > 0 {
		return g.Expected
	}
	if _, high, ok := x.Dispatcher.Quantiles(&g.Request); ok {
		return high
	}
	return 0
}

// hedge makes the second attempt. It returns nil if the caller already has some
// text, or the budget or the queue does not allow one.
func (x *execution) hedge(ctx context.Context, st *stageRun, g *queue.Grant) *attempt {
	// The price covers the hedge and the wasted time of the first attempt.
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

// addAbandonedCost adds the time of the attempt that has not ended to the cost
// and to the extra cost.
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
