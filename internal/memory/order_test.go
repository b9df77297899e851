package memory

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestReliefEndsNoMoreThanNeeded checks that no further holder is ended while the memory of
// those that were ended suffices and has only not been returned yet.
func TestReliefEndsNoMoreThanNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100}
		var holders []*Allowance
		for range 4 {
			a := b.NewAllowance()
			a.Take(25)
			holders = append(holders, a)
		}
		ends := 0
		b.Relieve = func() *Allowance {
			if ends == len(holders) {
				return nil
			}
			a := holders[ends]
			ends++
			time.AfterFunc(400*time.Millisecond, a.Release)
			return a
		}
		done := make(chan bool)
		for range 2 {
			go func() { done <- b.NewAllowance().Take(20) }()
		}
		for range 2 {
			if !<-done {
				t.Error("no memory after relief")
			}
		}
		if ends != 2 {
			t.Errorf("%d holders were ended, want 2", ends)
		}
	})
}

// TestTakesAreServedInOrder checks that a large Take gets its memory before small ones that
// come after it, which once took what was returned before it was enough.
func TestTakesAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100, Wait: 3 * time.Second}
		for i := range 5 {
			a := b.NewAllowance()
			a.Take(20)
			time.AfterFunc(time.Duration(i+1)*100*time.Millisecond, a.Release)
		}
		var stop atomic.Bool
		small := func() {
			for !stop.Load() {
				if a := b.NewAllowance(); a.Take(20) {
					time.Sleep(500 * time.Millisecond)
					a.Release()
				}
			}
		}
		large := make(chan bool)
		go func() { large <- b.NewAllowance().Take(80) }()
		time.Sleep(10 * time.Millisecond)
		for range 5 {
			go small()
		}
		start := time.Now()
		if !<-large || time.Since(start) > 500*time.Millisecond {
			t.Errorf("the large Take ended after %v", time.Since(start))
		}
		stop.Store(true)
		time.Sleep(time.Minute)
	})
}

// TestWaiterThatLeavesBlocksNobody checks that Takes behind one that gives up get what is
// available.
func TestWaiterThatLeavesBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100, Wait: time.Second}
		b.NewAllowance().Take(50)
		large := make(chan bool)
		go func() { large <- b.NewAllowance().Take(80) }()
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		if !b.NewAllowance().Take(50) || time.Since(start) != 500*time.Millisecond {
			t.Errorf("the small Take ended after %v", time.Since(start))
		}
		if <-large {
			t.Error("the large Take got more than the budget")
		}
	})
}

// TestKeptMemoryIsNotExpected checks that another holder is ended if the first one that was
// to be ended keeps its memory.
func TestKeptMemoryIsNotExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100}
		keeps, releases := b.NewAllowance(), b.NewAllowance()
		keeps.Take(50)
		releases.Take(50)
		holders := []*Allowance{keeps, releases}
		b.Relieve = func() *Allowance {
			if len(holders) == 0 {
				return nil
			}
			a := holders[0]
			holders = holders[1:]
			if a == keeps {
				time.AfterFunc(100*time.Millisecond, a.Keep)
			} else {
				time.AfterFunc(100*time.Millisecond, a.Release)
			}
			return a
		}
		if !b.NewAllowance().Take(50) {
			t.Error("no memory after relief")
		}
	})
}
