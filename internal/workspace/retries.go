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
	firstBudget = 5 * time.Second
	maxBudget   = 25 * time.Second
	// retryReserve is left by hedges for retries.
	retryReserve = 4500 * time.Millisecond
	// leastPrice is the price of an attempt of which nothing is known.
	leastPrice = 50 * time.Millisecond
	// maxBudgets bounds the workspaces with a budget; the one that was used
	// longest ago starts anew.
	maxBudgets = 4096
)

// Retries is the budget of extra attempts, retries and hedges, of each
// workspace. It is counted in time at targets, so that the extra cost is
// bounded whatever the attempts are. The zero value is ready for use.
type Retries struct {
	mu      sync.Mutex
	budgets *lru.Cache[string, time.Duration]
}

// Earn credits the workspace for an attempt that succeeded.
func (r *Retries) Earn(workspace string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(workspace)
	r.budgets.Add(workspace, min(maxBudget, b+time.Duration(retryShare*float64(took))))
}

// Take spends a retry that is expected to take so long, and reports whether the
// budget had it.
func (r *Retries) Take(workspace string, expected time.Duration) bool {
	return r.take(workspace, expected, 0)
}

// TakeHedge spends a hedge; it leaves a reserve for retries.
func (r *Retries) TakeHedge(workspace string, expected time.Duration) bool {
	return r.take(workspace, expected, retryReserve)
}

func (r *Retries) take(workspace string, expected, reserve time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(workspace)
	price := max(leastPrice, expected)
	if b-reserve < price {
		return false
	}
	r.budgets.Add(workspace, b-price)
	return true
}

// budget returns what the workspace has; r.mu is held.
func (r *Retries) budget(workspace string) time.Duration {
	if r.budgets == nil {
		r.budgets, _ = lru.New[string, time.Duration](maxBudgets) // fails only for a size below one
	}
	b, ok := r.budgets.Get(workspace)
	if !ok {
		return firstBudget
	}
	return b
}
