package backpressure

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// Table holds what targets have said of themselves. Exported fields are set before
// the first call.
type Table struct {
	Clock *clock.Service
	Log   *zap.Logger

	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is what one incarnation of a target has said.
type targetState struct {
	born    int64
	limited bool
	// limit is in requests a second. limitedAt is the time of the last response that
	// named one.
	limit       float64
	limitedAt   time.Time
	leaving     bool
	pausedUntil time.Time
}

// Observe takes the signal of a target's response to a request that was sent at the
// given time.
func (b *Table) Observe(t *catalog.Target, sentAt time.Time, s Signal) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(t)
	if s.Invalid != "" {
		b.Log.Info("target sent an invalid signal", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.String("Field", s.Invalid))
	}
	b.observeLimit(t, st, sentAt, s, now)
	if s.Pause > 0 {
		st.pausedUntil = now.Add(s.Pause)
		b.Log.Info("target asks for a pause", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Duration("Pause", s.Pause))
	}
	if s.Leaving && !st.leaving {
		st.leaving = true
		b.Log.Info("target says that it leaves", zap.String("Target", t.ID), zap.String("Service", t.Service))
	}
}

// observeLimit takes the limit that s names, or that it names none. Responses to
// requests that were sent before the last limit was named may be older than that limit
// and don't end it.
func (b *Table) observeLimit(t *catalog.Target, st *targetState, sentAt time.Time, s Signal, now time.Time) {
	former, wasLimited := st.limit, st.limited
	switch {
	case s.Limited:
		st.limited, st.limit, st.limitedAt = true, s.Limit, now
	case wasLimited && sentAt.After(st.limitedAt):
		st.limited, st.limit = false, 0
	}
	if st.limited == wasLimited && st.limit == former {
		return
	}
	b.Log.Info("limit of target changed", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Bool("Limited", st.limited),
		zap.Float64("Limit", st.limit), zap.Float64("Former", former))
}

// LogSend logs a send to a target that has named a limit.
func (b *Table) LogSend(t *catalog.Target, requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.state(t); st.limited {
		b.Log.Info("send to a limited target", zap.String("RequestID", requestID), zap.String("Target", t.ID), zap.Float64("Limit", st.limit),
			zap.Duration("LimitAge", b.Clock.Since(st.limitedAt)))
	}
}

// state returns the state of the present incarnation of t; b.mu is held.
func (b *Table) state(t *catalog.Target) *targetState {
	if b.targets == nil {
		b.targets = map[string]*targetState{}
	}
	st := b.targets[t.ID]
	if st == nil || st.born != t.Born {
		st = &targetState{born: t.Born}
		b.targets[t.ID] = st
	}
	return st
}

// Prune removes the state of targets that are not in s.
func (b *Table) Prune(s *catalog.Snapshot) {
	known := map[string]bool{}
	for _, targets := range s.Targets {
		for _, t := range targets {
			known[t.ID] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.targets {
		if !known[id] {
			delete(b.targets, id)
		}
	}
}
