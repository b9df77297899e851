package backpressure

import (
	"encoding/json"
	"math"
	"time"

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
