package backpressure

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// Table holds what targets have said of themselves, to this host or to another one.
// Exported fields are set before the first call.
type Table struct {
	Clock *clock.Service
	Log   *zap.Logger
	// Exchange, unless nil, spreads limits among the hosts.
	Exchange Exchange
	// Catalog, unless nil, returns the snapshot in force, whose services may limit the
	// requests to their cold targets.
	Catalog func() *catalog.Snapshot
	// Cold bounds the requests to cold targets; SetColdBounds changes it later.
	Cold ColdBounds

	mu      sync.Mutex
	targets map[string]*targetState
	cold    map[string]*coldState
	// coldLimits holds the limits at cold targets by service, computed from coldTable.
	coldLimits map[string]coldLimit
	coldTable  *catalog.Table
	// onLimit is set by notifyLimits.
	onLimit func(service string)
}

// targetState is what one incarnation of a target has said.
type targetState struct {
	Update
	// limitedAt is the time of the last response, or update of another host, that
	// named the limit.
	limitedAt time.Time
	// spreadAt is the time of the last update that this host sent or received, and
	// spreadLimit the limit in it.
	spreadAt    time.Time
	spreadLimit float64
	// pausedUntil is the time until which the target wants nothing from this host.
	pausedUntil time.Time
}

// notifyLimits makes f, which must not block, the function that is called with the
// service of a target that has named a limit after none, or has become cold.
func (b *Table) notifyLimits(f func(service string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onLimit = f
}

// Observe takes the signal of a target's response to a request that was sent at the
// given time.
func (b *Table) Observe(t *catalog.Target, sentAt time.Time, s Signal) {
	now := b.Clock.Now()
	if s.Invalid != "" {
		b.Log.Info("target sent an invalid signal", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.String("Field", s.Invalid))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(t)
	old := st.Update
	st.observeLimit(s, sentAt, now)
	if s.Cold > 0 {
		b.extendCold(t, s.Cold, now)
	}
	if s.Pause > 0 {
		st.pausedUntil = now.Add(s.Pause)
		b.Log.Info("target asks for a pause", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Duration("Pause", s.Pause))
	}
	if s.Leaving && !st.Leaving {
		st.Leaving = true
		st.advanceVersion(now)
	}
	b.recordChange(st, &old, "response")
	if st.needsSpreading(&old, now) {
		b.spread(st, now)
	}
}

// observeLimit takes the limit that s names, or that it names none. Responses to
// requests that were sent before the last limit was named may be older than that limit
// and don't end it.
func (st *targetState) observeLimit(s Signal, sentAt, now time.Time) {
	switch {
	case s.Limited:
		if !st.Limited || st.Limit != s.Limit {
			st.advanceVersion(now)
		}
		st.Limited, st.Limit, st.limitedAt = true, s.Limit, now
	case st.Limited && sentAt.After(st.limitedAt):
		st.Limited, st.Limit = false, 0
		st.advanceVersion(now)
	}
}

// advanceVersion makes the version later than that of all updates that this host has
// seen, and than those of others that it has not seen as far as clocks agree.
func (st *targetState) advanceVersion(now time.Time) {
	st.Version = max(st.Version+1, now.UnixMilli())
}

// recordChange logs what has changed since old and from where it came; b.mu is held.
func (b *Table) recordChange(st *targetState, old *Update, source string) {
	if st.Leaving && !(old.Leaving && old.Born == st.Born) {
		b.Log.Info("target says that it leaves", zap.String("Target", st.Target), zap.String("Service", st.Service), zap.String("Source", source))
	}
	if st.Limited == old.Limited && st.Limit == old.Limit {
		return
	}
	b.Log.Info("limit of target changed", zap.String("Target", st.Target), zap.String("Service", st.Service), zap.Bool("Limited", st.Limited),
		zap.Float64("Limit", st.Limit), zap.Float64("Former", old.Limit), zap.Int64("Version", st.Version), zap.String("Source", source))
	if st.Limited && !old.Limited && b.onLimit != nil {
		b.onLimit(st.Service)
	}
}

// Usable returns those of targets that do not leave by their own word.
func (b *Table) Usable(targets []*catalog.Target) []*catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*catalog.Target
	for _, t := range targets {
		if st := b.targets[t.ID]; st == nil || st.Born != t.Born || !st.Leaving {
			out = append(out, t)
		}
	}
	return out
}

// PauseLeft returns the time for which t wants nothing more from this host.
func (b *Table) PauseLeft(t *catalog.Target) time.Duration {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.targets[t.ID]
	if st == nil || st.Born != t.Born {
		return 0
	}
	return max(0, st.pausedUntil.Sub(now))
}

// Limited reports whether t has named a limit that is in force, or is cold.
func (b *Table) Limited(t *catalog.Target) bool {
	_, limited := b.allowance(t.Service, quotaKey{t.ID, t.Born})
	return limited
}

// limitedServices returns the services that have limited or cold targets.
func (b *Table) limitedServices() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for _, st := range b.targets {
		if st.Limited {
			out[st.Service] = true
		}
	}
	b.coldServices(out)
	return out
}

// limits returns the limits in force by service.
func (b *Table) limits() map[string][]Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string][]Update{}
	for _, st := range b.targets {
		if st.Limited {
			out[st.Service] = append(out[st.Service], st.Update)
		}
	}
	return out
}

// LogSend logs a send to a target that has named a limit or is cold.
func (b *Table) LogSend(t *catalog.Target, requestID string) {
	if left := b.ColdLeft(t); left > 0 {
		b.Log.Info("send to a cold target", zap.String("RequestID", requestID), zap.String("Target", t.ID), zap.Duration("Left", left))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.state(t); st.Limited {
		b.Log.Info("send to a limited target", zap.String("RequestID", requestID), zap.String("Target", t.ID), zap.Float64("Limit", st.Limit),
			zap.Duration("LimitAge", b.Clock.Since(st.limitedAt)))
	}
}

// state returns the state of the present incarnation of t; b.mu is held.
func (b *Table) state(t *catalog.Target) *targetState {
	if st := b.targets[t.ID]; st != nil && st.Born == t.Born {
		return st
	}
	return b.add(t.ID, t.Service, t.Born)
}

// add adds an incarnation of a target; b.mu is held.
func (b *Table) add(id, service string, born int64) *targetState {
	if b.targets == nil {
		b.targets = map[string]*targetState{}
	}
	st := &targetState{Update: Update{Target: id, Service: service, Born: born}}
	b.targets[id] = st
	return st
}

// Prune removes the state of targets that are not in s.
func (b *Table) Prune(s *catalog.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.targets {
		if !s.Has(id) {
			delete(b.targets, id)
		}
	}
	b.pruneCold(s)
}
