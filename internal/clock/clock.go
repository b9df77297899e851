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
func (s *Service) gate() {
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
	s.gate()
	return time.Now().Add(s.Skew)
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Sleep waits for d. It returns ctx's error when ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		s.gate()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// After returns a channel that is closed once d has passed, and a function
// that releases the timer.
func (s *Service) After(d time.Duration) (<-chan struct{}, func()) {
	done := make(chan struct{})
	t := time.AfterFunc(d, func() {
		s.gate()
		close(done)
	})
	return done, func() { t.Stop() }
}

// Subscribe returns a channel on which the time is sent every period until ctx
// ends. A subscriber that is late misses ticks, never receives them in a burst.
func (s *Service) Subscribe(ctx context.Context, period time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	go func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				s.gate()
				select {
				case ch <- now:
				default:
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ch
}
