package workspace

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of the budget of extra attempts.
const (
	// retryShare is the time that extra attempts may cost, as a part of the time
	// that successful attempts took at targets.
	retryShare = 0.05
	// initialBudget is what a workspace may spend before it has earned anything,
	// maxBudget the most that it can accumulate.
	initialBudget = 5 * time.Second
	maxBudget     = 25 * time.Second
	// retryReserve is the part of the balance that hedges leave for retries.
	retryReserve = 4500 * time.Millisecond
	// minPrice is the minimum price of an attempt, and the price of an attempt
	// without a known expected time.
	minPrice = 50 * time.Millisecond
	// maxBudgets bounds the workspaces with a balance; beyond it the least
	// recently used one is dropped and starts again with initialBudget.
	maxBudgets = 4096
)

// RetryBudget is the budget of each workspace for extra attempts, that is, retries
// and hedges. It is counted in time at targets, so that the extra cost is bounded
// whatever the attempts are. The zero value is ready to use.
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

// Take spends a retry with the given expected time and reports whether the budget
// allowed it.
func (r *RetryBudget) Take(workspace string, expected time.Duration) bool {
	return r.take(workspace, expected, 0)
}

// TakeHedge is like Take for a hedge, but leaves a reserve for retries.
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

// balance returns the remaining budget of the workspace. The caller holds r.mu.
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
