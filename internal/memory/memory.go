// Package memory bounds the memory that data of callers and targets takes together: bodies
// of requests, and responses. A Budget counts what its users hold and refuses what exceeds
// it, so that no sender can make the process run out of memory.
package memory

import (
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// reliefTime is how long a Take waits for the memory of holders that Relieve has ended.
// These release it as soon as their goroutines run.
const reliefTime = 500 * time.Millisecond

// Budget bounds the memory that its allowances hold together. The zero value allows
// nothing. Exported fields must be set before the first use.
type Budget struct {
	// Bytes is the size of the budget.
	Bytes int64
	// Relieve, unless nil, ends one holder of an allowance when memory is short, and
	// reports whether there was one to end. The holder releases its allowance later.
	Relieve func() bool
	// Wait is how long a Take waits for memory that holders release on their own. If it is
	// zero, a Take waits only after Relieve has ended a holder.
	Wait time.Duration

	mu   sync.Mutex
	used int64
	// freed is closed when memory is next returned.
	freed chan struct{}
}

// Used returns the number of bytes that allowances hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// tryTake reserves n bytes if they are available. Otherwise it returns a channel that is
// closed when memory is next returned.
func (b *Budget) tryTake(n int64) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n <= b.Bytes {
		b.used += n
		return true, nil
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return false, b.freed
}

// take reserves n bytes, if need be after others have returned theirs.
func (b *Budget) take(n int64) bool {
	ok, freed := b.tryTake(n)
	if ok || b.Relieve == nil && b.Wait == 0 {
		return ok
	}
	end, stop := clock.Timer(max(b.Wait, reliefTime))
	defer stop()
	for waits := b.Wait > 0; ; {
		if b.Relieve != nil && b.Relieve() {
			waits = true
		}
		if !waits || !awaitRelief(freed, end) {
			return false
		}
		if ok, freed = b.tryTake(n); ok {
			return true
		}
	}
}

// reliefInterval is the longest time between two calls of Relieve while a Take waits.
const reliefInterval = 250 * time.Millisecond

// awaitRelief waits until memory is returned or Relieve is to be called again. It returns
// false if end is closed first.
func awaitRelief(freed, end <-chan struct{}) bool {
	again, stop := clock.Timer(reliefInterval)
	defer stop()
	select {
	case <-freed:
	case <-again:
	case <-end:
		return false
	}
	return true
}

func (b *Budget) put(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Allowance is the part of a Budget that one holder has. Its methods may be called by any
// goroutine.
type Allowance struct {
	budget *Budget
	taken  atomic.Int64
}

// NewAllowance returns an empty allowance. Release must be called when what it accounts
// for is no longer used.
func (b *Budget) NewAllowance() *Allowance { return &Allowance{budget: b} }

// Take reserves n more bytes and reports whether they were available.
func (a *Allowance) Take(n int64) bool {
	if a.taken.Load()+n > a.budget.Bytes || !a.budget.take(n) {
		return false
	}
	a.taken.Add(n)
	return true
}

// Return gives n bytes back.
func (a *Allowance) Return(n int64) {
	a.taken.Add(-n)
	a.budget.put(n)
}

// Taken returns the number of bytes that a holds.
func (a *Allowance) Taken() int64 { return a.taken.Load() }

// Release gives all bytes back.
func (a *Allowance) Release() { a.budget.put(a.taken.Swap(0)) }
