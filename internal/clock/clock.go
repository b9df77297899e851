// Package clock is the timer service of a host. Parts subscribe to ticks and
// wait through a Service instead of using the time package, so that all waiting
// of a host has one owner. A Service can be suspended, which stops its
// subscribers as a stopped process would be; tests use that.
//
// Inside a testing/synctest bubble a Service runs in virtual time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Service hands out times, waits and ticks. The zero value is ready for use.
type Service struct {
	// Skew is added to every time that Now returns. It is set before use.
	Skew time.Duration

	mu      sync.Mutex
	resumed chan struct{} // non-nil while suspended; closed on Resume
}

// Suspend makes every call of s block until Resume.
func (s *Service) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume lets the calls go on that Suspend stopped.
func (s *Service) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// gate blocks while s is suspended.
func (s *Service) waitResumed() {
	for {
		s.mu.Lock()
		ch := s.resumed
		s.mu.Unlock()
		if ch == nil {
			return
		}
		<-ch
	}
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time {
	s.waitResumed()
	return time.Now().Add(s.Skew)
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Sleep waits for d. It returns ctx's error when ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	done, stop := Timer(d)
	defer stop()
	select {
	case <-done:
		s.waitResumed()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Timer returns a channel that is closed once d has passed, and a function that
// releases the timer. Unlike the channel of a time.Timer it is closed by a
// function of the timer's: a channel timer that has expired when it is looked at
// runs on the reader's thread, and in a bubble, with the race detector, two such
// threads share one of its contexts and crash the process (Go 1.26).
func Timer(d time.Duration) (<-chan struct{}, func()) {
	done := make(chan struct{})
	if d <= 0 {
		close(done)
		return done, func() {}
	}
	t := time.AfterFunc(d, func() { close(done) })
	return done, func() { t.Stop() }
}

// After returns a channel that is closed once d has passed, and a function
// that releases the timer.
func (s *Service) After(d time.Duration) (<-chan struct{}, func()) {
	done := make(chan struct{})
	t := time.AfterFunc(d, func() {
		s.waitResumed()
		close(done)
	})
	return done, func() { t.Stop() }
}

// AfterFunc calls f in a goroutine of its own once d has passed, unless stop was
// called before; stop reports whether it was in time.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	t := time.AfterFunc(d, func() {
		s.waitResumed()
		f()
	})
	return t.Stop
}

// Subscribe returns a channel on which the time is sent every period until ctx
// ends. A subscriber that is late misses ticks, never receives them in a burst.
func (s *Service) Subscribe(ctx context.Context, period time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	go s.tick(ctx, period, ch)
	return ch
}

// tick sends the times of the ticks on ch until ctx ends.
func (s *Service) tick(ctx context.Context, period time.Duration, ch chan<- time.Time) {
	next := time.Now().Add(period)
	for {
		done, stop := Timer(time.Until(next))
		select {
		case <-done:
		case <-ctx.Done():
			stop()
			return
		}
		s.waitResumed()
		select {
		case ch <- time.Now():
		default:
		}
		for now := time.Now(); !next.After(now); {
			next = next.Add(period)
		}
	}
}
