package backpressure

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

const (
	// leaseTime is how long a host's share of the limits is a holder's after each
	// renewal.
	leaseTime = 1500 * time.Millisecond
	// maxWait is the longest time that a request may wait for its turn.
	maxWait = 2 * time.Second
	// shareInterval is the time between two looks at what leases have ended.
	shareInterval = 50 * time.Millisecond
)

// Holder decides when requests of all hosts may go to targets that have named a
// limit. Each host has an equal share of every limit and leases it to one holder at a
// time, so that the holders of a service, however many hosts believe they are, never
// let more requests go than the limit. Exported fields are set before Register.
type Holder struct {
	Clock *clock.Service
	Log   *zap.Logger
	Table *Table
	// Hosts returns the number of hosts that share the limits.
	Hosts func() int

	mu       sync.Mutex
	services map[string]*serviceQuotas
}

// serviceQuotas is the state of the targets of one service.
type serviceQuotas struct {
	name string
	// leases holds the leases of hosts by name.
	leases map[string]lease
	// logged is the number of leases that a log line has told.
	logged int
	quotas map[quotaKey]*quota
	// share is the part of each limit that is leased to this host, as of the last look
	// at the leases at sharedAt.
	share    float64
	sharedAt time.Time
	// coldShare is the part for cold targets.
	coldShare float64
}

// quotaKey is an incarnation of a target.
type quotaKey struct {
	target string
	born   int64
}

// lease is a host's share of the limits of a service.
type lease struct {
	until time.Time
	// hosts is the number of hosts that share the limits as the host knows it.
	hosts     int
	renewedAt time.Time
	// coldFrom is the earliest time from which the lease may count for cold targets. It
	// counts once it is confirmed by a renewal at that time or later.
	coldFrom  time.Time
	confirmed bool
}

func (h *Holder) renew(r *Renewal) {
	for _, u := range r.Limits {
		h.Table.Apply(u)
	}
	h.Table.applyNotices(r.Cold)
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(r.Service)
	former := s.leases[r.Host]
	if r.Return {
		delete(s.leases, r.Host)
	} else {
		s.leases[r.Host] = former.renewed(r, now)
	}
	if r.Return || !former.until.After(now) || former.hosts != r.Hosts {
		s.updateShare(h, now)
	}
	if len(s.leases) != s.logged {
		s.logged = len(s.leases)
		h.Log.Info("shares of limits leased to this host", zap.String("Service", r.Service), zap.Int("Shares", s.logged), zap.Float64("Share", s.share))
	}
}

// renewed returns l after the renewal r. A host that was frozen handles the renewals that
// arrived meanwhile all at once, when the share may already be with another holder. They
// must not confirm the lease, so the delay starts anew after a gap of coldLeaseTime.
func (l lease) renewed(r *Renewal, now time.Time) lease {
	l.until, l.hosts = now.Add(leaseTime), r.Hosts
	if now.Sub(l.renewedAt) > coldLeaseTime {
		l.confirmed, l.coldFrom = false, now.Add(coldLeaseDelay)
		if r.Fresh {
			l.coldFrom = l.coldFrom.Add(leaseTime)
		}
	}
	l.renewedAt = now
	l.confirmed = l.confirmed || !now.Before(l.coldFrom)
	return l
}

// countsForCold reports whether l counts for cold targets.
func (l lease) countsForCold(now time.Time) bool {
	return l.confirmed && now.Sub(l.renewedAt) < coldLeaseTime
}

// take grants a turn at the first of the targets without a wait, or else at the one with
// the shortest wait.
func (h *Holder) take(a *Ask) Grant {
	h.Table.applyNotices(a.Cold)
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(a.Service)
	s.refreshShare(h, now)
	best, shortest := Grant{}, noTurn
	var bestKey quotaKey
	for _, c := range a.Targets {
		key := quotaKey{c.ID, c.Born}
		wait, tooLong := s.wait(h, key, now)
		shortest = min(shortest, wait)
		if !tooLong && wait <= min(a.MaxWait, maxWait) && (best.Target == "" || wait < best.Wait) {
			best, bestKey = Grant{Target: c.ID, Wait: wait}, key
		}
		if wait == 0 {
			break
		}
	}
	if best.Target == "" {
		return Grant{Wait: shortest}
	}
	best.Cold = s.take(h, bestKey, now)
	return best
}

// Limited reports whether t limits the number of its requests or is cold.
func (h *Holder) Limited(t *catalog.Target) bool { return h.Table.Limited(t) }

// Wait returns the time until a request may go to t: zero without a limit, and noTurn if
// no turn can be granted now.
func (h *Holder) Wait(t *catalog.Target) time.Duration {
	if !h.Table.Limited(t) {
		return 0
	}
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(t.Service)
	s.refreshShare(h, now)
	wait, tooLong := s.wait(h, quotaKey{t.ID, t.Born}, now)
	if tooLong {
		return noTurn
	}
	return wait
}

// MayWait reports whether a request that can wait for d may wait for its turn.
func MayWait(wait, d time.Duration) bool { return wait <= min(d, maxWait) }

// Take lets one request go to t after Wait. It reports whether the turn was granted at
// the rate of a cold target.
func (h *Holder) Take(t *catalog.Target) (cold bool) {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(t.Service).take(h, quotaKey{t.ID, t.Born}, now)
}

// service returns the state of a service; h.mu is held.
func (h *Holder) service(name string) *serviceQuotas {
	if h.services == nil {
		h.services = map[string]*serviceQuotas{}
	}
	s := h.services[name]
	if s == nil {
		s = &serviceQuotas{name: name, leases: map[string]lease{}, quotas: map[quotaKey]*quota{}}
		h.services[name] = s
	}
	return s
}

// refreshShare calls updateShare once in shareInterval.
func (s *serviceQuotas) refreshShare(h *Holder, now time.Time) {
	if now.Sub(s.sharedAt) >= shareInterval {
		s.updateShare(h, now)
	}
}

// updateShare ends leases, and adapts the rates to the leases and limits in force.
// Quotas of targets without a limit are removed.
func (s *serviceQuotas) updateShare(h *Holder, now time.Time) {
	for host, l := range s.leases {
		if !l.until.After(now) {
			delete(s.leases, host)
		}
	}
	s.sharedAt = now
	s.share, s.coldShare = s.leasedShares(h.Hosts(), now)
	for key, q := range s.quotas {
		a, limited := h.Table.allowance(s.name, key)
		if !limited || a.born != key.born {
			delete(s.quotas, key)
			continue
		}
		q.setRate(a, s.shareOf(a), now)
	}
}

// leasedShares returns the part of each limit that is leased to this host, and the part
// for cold targets. hosts is the number of hosts as this host knows it; another one may
// know of more.
func (s *serviceQuotas) leasedShares(hosts int, now time.Time) (share, coldShare float64) {
	cold := 0
	for _, l := range s.leases {
		hosts = max(hosts, l.hosts)
		if l.countsForCold(now) {
			cold++
		}
	}
	share = min(1, float64(len(s.leases))/float64(max(1, hosts)))
	coldShare = min(1, float64(cold)/float64(max(1, hosts)))
	if coldShare < minColdShare {
		coldShare = 0
	}
	return share, coldShare
}

// shareOf returns the part of a that is leased to this host.
func (s *serviceQuotas) shareOf(a allowance) float64 {
	if a.cold {
		return s.coldShare
	}
	return s.share
}

// wait returns the time until a request may go to a target. If tooLong is set, no turn may
// be granted now.
func (s *serviceQuotas) wait(h *Holder, key quotaKey, now time.Time) (wait time.Duration, tooLong bool) {
	a, limited := h.Table.allowance(s.name, key)
	if !limited {
		return 0, false
	}
	key.born = a.born
	q := s.quotas[key]
	if q == nil {
		q = &quota{at: now}
		s.quotas[key] = q
	}
	q.setRate(a, s.shareOf(a), now)
	wait = q.wait(now)
	return wait, q.tooLong(wait)
}

// take lets one request go to a target; without a limit there is nothing to count. It
// reports whether the target is cold.
func (s *serviceQuotas) take(h *Holder, key quotaKey, now time.Time) (cold bool) {
	a, _ := h.Table.allowance(s.name, key)
	key.born = a.born
	q := s.quotas[key]
	if q == nil {
		return false
	}
	q.take(now)
	return q.cold
}
