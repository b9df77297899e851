package memory

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestTakeWaitsForRelief checks that a Take that is short gets the memory of what Relieve
// ends, and fails at once if there is nothing to end.
func TestTakeWaitsForRelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100}
		held := b.NewAllowance()
		ends := 1
		b.Relieve = func() *Allowance {
			if ends == 0 {
				return nil
			}
			ends--
			go func() {
				time.Sleep(reliefTime / 2)
				held.Release()
			}()
			return held
		}
		if !held.Take(60) {
			t.Fatal("an empty budget holds too little")
		}
		a := b.NewAllowance()
		if !a.Take(60) || b.Used() != 60 {
			t.Errorf("no memory after relief, %d used", b.Used())
		}
		start := time.Now()
		if b.NewAllowance().Take(60) || time.Since(start) > 0 {
			t.Errorf("memory without relief, after %v", time.Since(start))
		}
		if a.Take(60) {
			t.Error("an allowance exceeds the budget")
		}
	})
}

// TestTakeWaits checks that a Take waits for memory that its holder returns by itself,
// and not longer than it should.
func TestTakeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Bytes: 100, Wait: 3 * time.Second}
		held := b.NewAllowance()
		held.Take(60)
		start := time.Now()
		if b.NewAllowance().Take(60) || time.Since(start) != b.Wait {
			t.Errorf("Take ended after %v, want %v", time.Since(start), b.Wait)
		}
		time.AfterFunc(time.Second, held.Release)
		if !b.NewAllowance().Take(60) {
			t.Error("no memory after it was returned")
		}
		synctest.Wait()
	})
}

// TestTakeSpare checks that a holder that can do without memory gets none that others need.
func TestTakeSpare(t *testing.T) {
	b := &Budget{Bytes: 100}
	a := b.NewAllowance()
	if a.TakeSpare(40, 70) || b.Used() != 0 {
		t.Errorf("memory was taken from the reserve, %d used", b.Used())
	}
	if !a.TakeSpare(40, 60) || a.Taken() != 40 {
		t.Errorf("%d bytes were taken, want 40", a.Taken())
	}
}
