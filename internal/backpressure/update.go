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

// merge returns what holds after the updates a and b about one target, in whatever
// order they arrive. The later incarnation counts, and the later version of its limit;
// of two limits with the same version the lower one wins. An incarnation that leaves
// does not come back.
func merge(a, b Update) Update {
	if a.Born != b.Born {
		if a.Born > b.Born {
			return a
		}
		return b
	}
	out := a
	if b.Version > a.Version || b.Version == a.Version && b.Limited && (!a.Limited || b.Limit < a.Limit) {
		out = b
	}
	out.Leaving = a.Leaving || b.Leaving
	return out
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
	old := st.Update
	st.Update = merge(old, u)
	if st.Update == old {
		return
	}
	st.spreadAt, st.spreadLimit = now, st.Limit
	if st.Limited {
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
