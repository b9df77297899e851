// Package clock is the timer service of a host. The components of a host
// subscribe to ticks and wait through a Service instead of the time package, so
// that all its waits go through one place. Tests can suspend a Service, which
// stops its users as if their process were stopped.
//
// Inside a testing/synctest bubble a Service runs in virtual time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Service provides the current time, waits and ticks. The zero value is ready for
// use.
type Service struct {
	// Skew is added to every time that Now returns. It is set before use.
	Skew time.Duration

	mu      sync.Mutex
	resumed chan struct{} // non-nil while suspended; closed on Resume
}

// Suspend blocks Now, and the end of every wait and tick, until Resume.
func (s *Service) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume unblocks what Suspend has blocked.
func (s *Service) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// waitResumed blocks while s is suspended.
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

// Now returns the current time, with a monotonic clock reading, plus s.Skew.
func (s *Service) Now() time.Time {
	s.waitResumed()
	return time.Now().Add(s.Skew)
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
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
// releases the timer. The channel is closed by a time.AfterFunc, since the
// channel of a time.Timer can crash the process in a synctest bubble with the
// race detector (Go 1.26): a channel timer that has expired when it is read runs on
// the reader's thread, and two such threads share one race detector context.
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

// AfterFunc calls f in its own goroutine once d has passed, unless stop is called
// before; stop reports whether it prevented the call.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	t := time.AfterFunc(d, func() {
		s.waitResumed()
		f()
	})
	return t.Stop
}

// Subscribe returns a channel on which the time is sent every period until ctx
// ends. A slow subscriber misses ticks; it never receives them in a burst.
func (s *Service) Subscribe(ctx context.Context, period time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	go s.tick(ctx, period, ch)
	return ch
}

// tick sends the time on ch every period until ctx ends.
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
