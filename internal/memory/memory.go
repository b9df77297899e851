// Package memory bounds the memory that data of callers and targets takes together: bodies
// of requests, and responses. A Budget counts what its users hold and refuses what exceeds
// it, so that no sender can make the process run out of memory.
package memory

import (
	"slices"
	"sync"
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
	// Relieve, unless nil, ends the holder of an allowance when memory is short, and
	// returns its allowance, or nil if there is none to end. The holder releases the
	// allowance later, or calls Keep.
	Relieve func() *Allowance
	// Wait is how long a Take waits for memory that holders release on their own. If it is
	// zero, a Take waits only for the holders that Relieve has ended.
	Wait time.Duration

	// relieving makes waiters call Relieve one after the other, as each needs to know what
	// the holders that the others have ended will return.
	relieving sync.Mutex

	mu   sync.Mutex
	used int64
	// ending is the part of used that ended holders will return.
	ending int64
	// waiters holds the waiting Takes in order of arrival, in which they are served.
	waiters []*waiter
}

// waiter is a Take that waits for memory.
type waiter struct {
	allowance *Allowance
	bytes     int64
	// granted is closed when the memory has been taken.
	granted chan struct{}
}

// Used returns the number of bytes that allowances hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// take reserves n bytes for a, if need be after others have returned theirs.
func (b *Budget) take(a *Allowance, n int64) bool {
	if b.Relieve == nil && b.Wait == 0 {
		return b.tryTake(a, n)
	}
	w := b.enter(a, n)
	if w == nil {
		return true
	}
	end, stop := clock.Timer(max(b.Wait, reliefTime))
	defer stop()
	for {
		if enough := b.relieve(w); !enough && b.Wait == 0 || !w.await(end) {
			return b.leave(w)
		}
		if w.isGranted() {
			return true
		}
	}
}

// tryTake takes n bytes for a if they are available.
func (b *Budget) tryTake(a *Allowance, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.Bytes {
		return false
	}
	b.change(a, n)
	return true
}

// enter takes n bytes for a if they are available and no other Take waits. Otherwise it
// returns a new waiter.
func (b *Budget) enter(a *Allowance, n int64) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{allowance: a, bytes: n, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.grant()
	if w.isGranted() {
		return nil
	}
	return w
}

// grant serves the waiters in their order, as far as memory is available; b.mu is held.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.Bytes {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.change(w.allowance, w.bytes)
		close(w.granted)
	}
}

// change adds n bytes to what a holds; b.mu is held.
func (b *Budget) change(a *Allowance, n int64) {
	b.used += n
	a.taken += n
	if a.ending {
		b.ending += n
	}
}

// leave ends the wait of w, and reports whether it got its memory before.
func (b *Budget) leave(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.isGranted() {
		return true
	}
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	b.grant()
	return false
}

// relieve ends holders until what they will return suffices for w and all waiters before
// it, and reports whether it does.
func (b *Budget) relieve(w *waiter) bool {
	b.relieving.Lock()
	defer b.relieving.Unlock()
	for b.lacks(w) {
		if b.Relieve == nil {
			return false
		}
		ended := b.Relieve()
		if ended == nil {
			return false
		}
		b.setEnding(ended, true)
	}
	return true
}

// lacks reports whether w and the waiters before it need more memory than is available
// once the ended holders have returned theirs.
func (b *Budget) lacks(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.isGranted() {
		return false
	}
	needs := b.used - b.ending
	for _, other := range b.waiters {
		needs += other.bytes
		if other == w {
			break
		}
	}
	return needs > b.Bytes
}

// setEnding records whether the holder of a has been ended and will return its memory.
func (b *Budget) setEnding(a *Allowance, ending bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ending == ending {
		return
	}
	a.ending = ending
	if ending {
		b.ending += a.taken
	} else {
		b.ending -= a.taken
	}
}

// reliefInterval is the longest time between two calls of relieve while a Take waits:
// holders that were in use may have stalled since.
const reliefInterval = 250 * time.Millisecond

// await waits until w is granted or relieve is to be called again. It returns false if end
// is closed first.
func (w *waiter) await(end <-chan struct{}) bool {
	again, stop := clock.Timer(reliefInterval)
	defer stop()
	select {
	case <-w.granted:
	case <-again:
	case <-end:
		return false
	}
	return true
}

func (w *waiter) isGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// Allowance is the part of a Budget that one holder has. Its methods may be called by any
// goroutine.
type Allowance struct {
	budget *Budget
	// taken and ending are guarded by the mutex of the budget. ending is set once Relieve
	// has ended the holder.
	taken  int64
	ending bool
}

// NewAllowance returns an empty allowance. Release must be called when what it accounts
// for is no longer used.
func (b *Budget) NewAllowance() *Allowance { return &Allowance{budget: b} }

// Take reserves n more bytes and reports whether they were available.
func (a *Allowance) Take(n int64) bool {
	return a.Taken()+n <= a.budget.Bytes && a.budget.take(a, n)
}

// TakeSpare reserves n more bytes if reserve bytes are left afterwards and no Take waits, and
// reports whether it did. It is for what a holder can do without.
func (a *Allowance) TakeSpare(n, reserve int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+n+reserve > b.Bytes {
		return false
	}
	b.change(a, n)
	return true
}

// Return gives n bytes back.
func (a *Allowance) Return(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.change(a, -n)
	a.budget.grant()
}

// Taken returns the number of bytes that a holds.
func (a *Allowance) Taken() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.taken
}

// Release gives all bytes back.
func (a *Allowance) Release() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.change(a, -a.taken)
	a.budget.grant()
}

// Keep records that the holder keeps its memory although Relieve was to end it: it had
// what it needed by then.
func (a *Allowance) Keep() { a.budget.setEnding(a, false) }
