package workspace

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of the budget of extra attempts.
const (
	// retryShare is the part of the time that attempts took at targets which
	// extra attempts may cost.
	retryShare = 0.05
	// firstBudget is what a workspace may spend before it has earned anything,
	// maxBudget the most that it may save.
	initialBudget = 5 * time.Second
	maxBudget     = 25 * time.Second
	// retryReserve is left by hedges for retries.
	retryReserve = 4500 * time.Millisecond
	// leastPrice is the price of an attempt of which nothing is known.
	minPrice = 50 * time.Millisecond
	// maxBudgets bounds the workspaces with a budget; the one that was used
	// longest ago starts anew.
	maxBudgets = 4096
)

// Retries is the budget of extra attempts, retries and hedges, of each
// workspace. It is counted in time at targets, so that the extra cost is
// bounded whatever the attempts are. The zero value is ready for use.
type RetryBudget struct {
	mu       sync.Mutex
	balances *lru.Cache[string, time.Duration]
}

// Earn credits the workspace for an attempt that succeeded.
func (r *RetryBudget) Earn(workspace string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balance(workspace)
	r.balances.Add(workspace, min(maxBudget, b+time.Duration(retryShare*float64(took))))
}

// Take spends a retry that is expected to take so long, and reports whether the
// budget had it.
func (r *RetryBudget) Take(workspace string, expected time.Duration) bool {
	return r.take(workspace, expected, 0)
}

// TakeHedge spends a hedge; it leaves a reserve for retries.
func (r *RetryBudget) TakeHedge(workspace string, expected time.Duration) bool {
	return r.take(workspace, expected, retryReserve)
}

func (r *RetryBudget) take(workspace string, expected, reserve time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balance(workspace)
	price := max(minPrice, expected)
	if b-reserve < price {
		return false
	}
	r.balances.Add(workspace, b-price)
	return true
}

// budget returns what the workspace has; r.mu is held.
func (r *RetryBudget) balance(workspace string) time.Duration {
	if r.balances == nil {
		r.balances, _ = lru.New[string, time.Duration](maxBudgets) // fails only for a size below one
	}
	b, ok := r.balances.Get(workspace)
	if !ok {
		return initialBudget
	}
	return b
}
