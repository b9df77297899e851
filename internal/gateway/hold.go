package gateway

import (
	"context"
	"time"
)

// The decisions of this file answer scarce memory for results: a short branch of a
// request's stages waits rather than let its results lie until the long one is done.

// holdBack delays stage i while another branch of the request takes longer, since
// its results would only occupy memory until that branch is done. It waits for the
// start of the last stage of that branch from which the rest of the branch takes
// at least as long as stage i.
func (p *plan) holdBack(ctx context.Context, i int) {
	if len(p.q.route.Stages[i].After) > 0 || p.readers[i] > 0 {
		return
	}
	k := p.stageToAwait(i)
	if k < 0 || !p.mayHoldBack() {
		return
	}
	select {
	case <-p.start(ctx, k).inputsReady:
	case <-ctx.Done():
	}
}

// mayHoldBack reports whether no stage was held back before.
func (p *plan) mayHoldBack() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.heldBack
	p.heldBack = true
	return first
}

// stageToAwait returns the stage whose start stage i waits for, or -1.
func (p *plan) stageToAwait(i int) int {
	own := p.expectedTime(i)
	for _, k := range p.sinks {
		rest := time.Duration(0)
		for k != i && p.pieceCount(k) > 0 {
			if rest += p.expectedTime(k); rest >= own {
				return k
			}
			after := p.q.route.Stages[k].After
			if len(after) == 0 {
				break
			}
			k = after[0]
		}
	}
	return -1
}

// expectedTime returns the expected time of stage i with the wait before it.
func (p *plan) expectedTime(i int) time.Duration {
	return p.callTime(i) + p.h.Stages.WaitEstimate(p.q.route.Stages[i].Service).Ahead
}
