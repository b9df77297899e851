package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/crash"
)

// The decisions of this file answer targets that fall silent: one that is gone or hangs,
// and one that pauses a stream and goes on later.

// Timeouts of streams.
const (
	// A resumable stream continues at another target after stallPauseFactor times
	// the pause that the route allows between events without an event, but not
	// before minStallTimeout.
	minStallTimeout  = 1200 * time.Millisecond
	stallPauseFactor = 3
	// firstEventTimeout is the time without a first event after which a resumable
	// stream is sent to another target.
	firstEventTimeout = 3 * time.Second
	// stallCheckInterval is the time between two looks for another target while there
	// is none.
	stallCheckInterval = 200 * time.Millisecond
	// goneTime is the silence after which a target that may not take the stream will do:
	// the present one is hardly alive.
	goneTime = 3 * time.Second
)

// errStalled is the cause of a context that ended because the target sent no
// events in time.
var errStalled = errors.New("target stopped sending events")

// stallTimer cancels the send of a resumable stream when the target sends no events in
// time and the stream can go on at another target.
type stallTimer struct {
	h      *Host
	cancel context.CancelCauseFunc
	limit  time.Duration
	others otherTargets

	mu          sync.Mutex
	silentSince time.Time
	stopTimer   func() bool
	stopped     bool
}

// startStallTimer starts the timer. It has no effect on streams that can't
// continue at another target.
func (s *sender) startStallTimer(cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{h: s.h, cancel: cancel, others: otherTargets{s.h, s.q.service, s.q.domains, s.q.suspects, maps.Clone(s.tried)}, silentSince: s.h.Clock.Now()}
	if s.q.route.Repeatable() && s.q.sends < max(1, s.q.route.MaxTargets) {
		t.limit = max(minStallTimeout, stallPauseFactor*s.q.route.EventPause)
		t.arm(firstEventTimeout)
	}
	return t
}

// arm starts the timer anew unless it has been stopped.
func (t *stallTimer) arm(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.stopTimer != nil {
		t.stopTimer()
	}
	t.stopTimer = t.h.Clock.AfterFunc(d, t.expire)
}

// expire ends the send, or looks again later: silence alone ends nothing.
func (t *stallTimer) expire() {
	t.mu.Lock()
	gone := t.h.Clock.Since(t.silentSince) >= goneTime
	t.mu.Unlock()
	if t.others.exist(gone) {
		t.cancel(errStalled)
		return
	}
	t.arm(stallCheckInterval)
}

// reset restarts the timer after an event.
func (t *stallTimer) reset() {
	if t.limit == 0 {
		return
	}
	t.mu.Lock()
	t.silentSince = t.h.Clock.Now()
	t.mu.Unlock()
	t.arm(t.limit)
}

// suspend stops the timer until the next reset.
func (t *stallTimer) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopTimer != nil {
		t.stopTimer()
	}
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.stopTimer != nil {
		t.stopTimer()
	}
}

// otherTargets is what must be known to find out whether a request may be sent to another
// target than those tried so far. It may be used by any goroutine.
type otherTargets struct {
	h        *Host
	service  string
	domains  []string
	suspects []crash.Suspect
	tried    map[string]bool
}

// exist reports whether there is such a target, and room in the budget of repeats. Unless
// uncertain is set, the target must be one that is not paused and has no limit, so that
// it will hardly refuse.
func (o *otherTargets) exist(uncertain bool) bool {
	if !o.h.Repeats.Allows(o.service) || o.h.Crashes.BlockedSuspect(o.suspects) != (crash.Suspect{}) {
		return false
	}
	usable := o.h.Backpressure.Usable(o.h.Follower.Snapshot().ActiveTargetsIn(o.service, o.domains))
	paused := o.h.Balancer.Paused(usable)
	for _, t := range usable {
		if o.tried[t.ID] || o.h.Backpressure.PauseLeft(t) > 0 {
			continue
		}
		if uncertain || !slices.Contains(paused, t.ID) && !o.h.Backpressure.Limited(t) {
			return true
		}
	}
	return false
}
