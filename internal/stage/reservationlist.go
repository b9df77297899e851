package stage

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// This file keeps the list of reservations that a batcher has granted, recorded, or taken
// over from a former holder.

const (
	// silentLifetime is the time after which the reservations of a host that sends no
	// heartbeat are dropped.
	silentLifetime = 1500 * time.Millisecond
	// listLag is the age from which a reservation that is missing in its host's
	// heartbeat is dropped. A younger one may be missing because the heartbeat was sent
	// before the host had the answer.
	listLag = 500 * time.Millisecond
	// wakeGap is the time between two sweeps from which this host counts as having been
	// frozen. It then can't know which hosts were silent.
	wakeGap = 500 * time.Millisecond
)

// addReservation adds r as granted to host or recorded for it, and returns it.
func (b *Batcher) addReservation(host string, r Reservation, now time.Time) *reservation {
	q := b.queue(r.Service)
	since := now.Sub(q.epoch)
	granted := &reservation{Reservation: r, host: host, grantedAt: now, start: since + r.Start, due: since + r.Due, end: since + r.End, index: len(q.reserved)}
	b.reservations[r.ID] = granted
	q.reserved = append(q.reserved, granted)
	return granted
}

// giveBack removes the reservation with the given ID, if there is one. It does not count
// as use of its workspace's share any more, since another pool may have refused the request.
func (b *Batcher) giveBack(id string, now time.Time) {
	r := b.reservations[id]
	if r == nil {
		return
	}
	if r.charge != nil {
		b.queue(r.Service).shares.refund(&r.Reservation, r.charge, now)
	}
	b.removeReservation(id)
}

// removeReservation removes the reservation with the given ID, if there is one.
func (b *Batcher) removeReservation(id string) {
	r := b.reservations[id]
	if r == nil {
		return
	}
	delete(b.reservations, id)
	q := b.queue(r.Service)
	last := len(q.reserved) - 1
	q.reserved[r.index] = q.reserved[last]
	q.reserved[r.index].index = r.index
	q.reserved[last] = nil
	q.reserved = q.reserved[:last]
}

// takeUp ends the reservation that j takes up and sets the time by which j was promised
// its results. The promise holds also if this batcher doesn't know the reservation: a
// former one granted it, or its host was silent for a while.
func (b *Batcher) takeUp(j *job, now time.Time) {
	j.promise = j.deadline
	b.removeReservation(j.Reservation)
	if !j.Promised {
		return
	}
	if end := now.Add(j.Promise); end.Before(j.deadline) {
		j.promise = end
	}
}

// release removes reservations whose jobs will not come.
func (b *Batcher) release(a ReleaseArgs) error {
	return b.do(func() {
		now := b.Clock.Now()
		for _, id := range a.IDs {
			if r := b.reservations[id]; r != nil && r.host == a.Host {
				b.giveBack(id, now)
				b.count("GivenBack")
			}
		}
	})
}

// syncReservations takes over the list of its open reservations that a host sends with
// its heartbeats. What a former batcher granted is added without a decision, since it is
// promised; what the host no longer lists was given back by a message that was lost.
func (b *Batcher) syncReservations(s SignOfLife, now time.Time) {
	if !s.Reserves {
		return
	}
	b.heard[s.Host] = now
	listed := make(map[string]bool, len(s.Reservations))
	for _, r := range s.Reservations {
		listed[r.ID] = true
		if b.reservations[r.ID] == nil && r.valid() && len(b.reservations) < maxReservations {
			b.addReservation(s.Host, r, now)
			b.count("Rebuilt")
		}
	}
	for id, r := range b.reservations {
		if r.host == s.Host && !listed[id] && now.Sub(r.grantedAt) > listLag {
			b.giveBack(id, now)
			b.count("GivenBack")
		}
	}
}

// expireReservations removes the reservations whose time is over and those of silent
// hosts.
func (b *Batcher) expireReservations(now time.Time) {
	if gap := now.Sub(b.lastSweep); gap > wakeGap {
		for host, at := range b.heard {
			b.heard[host] = at.Add(gap)
		}
	}
	b.lastSweep = now
	dropped := map[string]int{}
	for id, r := range b.reservations {
		switch {
		case now.Sub(b.heard[r.host]) > silentLifetime:
			dropped[r.host]++
			b.removeReservation(id)
			b.count("Dropped")
		case r.end <= now.Sub(b.queue(r.Service).epoch):
			b.Log.Info("reservation expired", zap.String("RequestID", r.RequestID), zap.Int("Stage", r.Stage), zap.String("Service", r.Service), zap.String("Host", r.host))
			b.removeReservation(id)
			b.count("Expired")
		}
	}
	for host, n := range dropped {
		b.Log.Info("reservations of a silent host dropped", zap.String("Host", host), zap.Int("Reservations", n))
	}
	for host, at := range b.heard {
		if now.Sub(at) > silentLifetime {
			delete(b.heard, host)
		}
	}
}

// count counts an event of reservations.
func (b *Batcher) count(event string) {
	if b.Metrics != nil {
		metrics.GetOrRegisterCounter("Reservations."+event, b.Metrics).Inc(1)
	}
}
