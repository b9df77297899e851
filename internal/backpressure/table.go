package backpressure

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Times and bounds of the updates among hosts.
const (
	// refreshInterval is how long hosts know of a limit by one update; a response that
	// names it later is spread again, for hosts that have started since.
	refreshInterval = 15 * time.Second
	// updateLifetime is how long an update is passed on.
	updateLifetime = 2 * refreshInterval
	// spreadChange is the change of a limit, as a share of it, that other hosts need
	// not know.
	spreadChange = 0.1
)

// Exchange spreads notes among the hosts.
type Exchange interface {
	OnNote(kind peer.NoteKind, f func(peer.Note))
	Spread(n peer.Note)
}

// Table holds what targets have said of themselves, to this host or to another one.
// Exported fields are set before the first call.
type Table struct {
	Clock *clock.Service
	Log   *zap.Logger
	// Exchange, unless nil, spreads limits among the hosts.
	Exchange Exchange

	mu      sync.Mutex
	targets map[string]*targetState
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

// Update tells other hosts what a target has said.
type Update struct {
	Target, Service string
	// Born is the start of the target's incarnation. Version orders the updates about
	// it.
	Born, Version int64
	// Limited is set if the target takes only Limit requests a second from all hosts.
	Limited bool
	Limit   float64
	// Leaving is set if the target drains.
	Leaving bool
}

// newer reports whether u replaces old. Of two updates with the same version the
// lower limit wins.
func (u *Update) newer(old *Update) bool {
	switch {
	case u.Born != old.Born:
		return u.Born > old.Born
	case u.Version != old.Version:
		return u.Version > old.Version
	default:
		return u.Limited && (!old.Limited || u.Limit < old.Limit)
	}
}

// valid reports whether an update of another host can be used.
func (u *Update) valid() bool {
	return u.Target != "" && u.Limit >= 0 && !math.IsInf(u.Limit, 0)
}

// Listen takes the updates of other hosts. It is called before the exchange runs.
func (b *Table) Listen() {
	b.Exchange.OnNote(peer.LimitNote, func(n peer.Note) {
		var u Update
		if err := json.Unmarshal(n.Data, &u); err != nil {
			b.Log.Info("cannot read an update about a target", journal.Error(err))
			return
		}
		b.Apply(u)
	})
}

// notifyLimits makes f, which must not block, the function that is called with the
// service of a target that has named a limit after none.
func (b *Table) notifyLimits(f func(service string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onLimit = f
}

// Apply takes the update of another host.
func (b *Table) Apply(u Update) {
	if !u.valid() {
		b.Log.Info("update about a target is not valid", zap.String("Target", u.Target), zap.Float64("Limit", u.Limit))
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.targets[u.Target]
	if st == nil {
		st = b.add(u.Target, u.Service, u.Born)
	}
	if u.Born == st.Born && u.Version == st.Version && u.Limited {
		st.spreadAt, st.spreadLimit = now, u.Limit
	}
	if !u.newer(&st.Update) {
		return
	}
	old := st.Update
	st.Update = u
	st.Leaving = u.Leaving || old.Leaving && old.Born == u.Born
	st.spreadAt, st.spreadLimit = now, u.Limit
	if u.Limited {
		st.limitedAt = now
	}
	b.recordChange(st, &old, "peer")
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
	if s.Pause > 0 {
		st.pausedUntil = now.Add(s.Pause)
		b.Log.Info("target asks for a pause", zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Duration("Pause", s.Pause))
	}
	if s.Leaving && !st.Leaving {
		st.Leaving = true
		st.Version++
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
			st.Version++
		}
		st.Limited, st.Limit, st.limitedAt = true, s.Limit, now
	case st.Limited && sentAt.After(st.limitedAt):
		st.Limited, st.Limit = false, 0
		st.Version++
	}
}

// needsSpreading reports whether other hosts should know of the state of st, which
// was old before the last response.
func (st *targetState) needsSpreading(old *Update, now time.Time) bool {
	switch {
	case st.Limited != old.Limited, st.Leaving != old.Leaving:
		return true
	case !st.Limited:
		return false
	case math.Abs(st.Limit-st.spreadLimit) > spreadChange*st.spreadLimit:
		return true
	default:
		return now.Sub(st.spreadAt) > refreshInterval
	}
}

// spread sends the state of st to the other hosts; b.mu is held.
func (b *Table) spread(st *targetState, now time.Time) {
	st.spreadAt, st.spreadLimit = now, st.Limit
	if b.Exchange == nil {
		return
	}
	data, err := json.Marshal(st.Update)
	if err != nil {
		b.Log.Error("cannot encode an update about a target", zap.String("Target", st.Target), journal.Error(err))
		return
	}
	// The exchange delivers the note to this host too, which takes b.mu.
	go b.Exchange.Spread(peer.Note{Kind: peer.LimitNote, Data: data, Expires: now.Add(updateLifetime)})
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

// limit returns the limit of the incarnation of a target, if it has named one.
func (b *Table) limit(id string, born int64) (limit float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.targets[id]
	if st == nil || st.Born != born {
		return 0, false
	}
	return st.Limit, st.Limited
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

// Limited reports whether t has named a limit that is in force.
func (b *Table) Limited(t *catalog.Target) bool {
	_, limited := b.limit(t.ID, t.Born)
	return limited
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

// LogSend logs a send to a target that has named a limit.
func (b *Table) LogSend(t *catalog.Target, requestID string) {
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
