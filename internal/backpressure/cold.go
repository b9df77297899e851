package backpressure

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"go.uber.org/zap"
)

// This file limits the requests to cold targets. A target is cold after a start and
// crashes if it gets many requests then, so all hosts together must stay within a bound
// in any second, counted at the target.

const (
	// coldBurst is the number of requests that one holder may admit to a cold target at
	// once.
	coldBurst = 1
	// minColdShare is the smallest share of the hosts' leases with which a holder admits
	// requests to cold targets. Without it, each of many holders that are partitioned
	// from each other could use its burst in the same second.
	minColdShare = 0.25
	// maxColdHolders is the largest number of holders that send to one cold target.
	maxColdHolders = 1 / minColdShare
	// coldBunching is the margin, as a fraction of the rate, for requests that arrive
	// closer together than their turns were, since a turn may be used up to coldTurnLife
	// late, and for hosts that differ in the number of hosts that they see.
	coldBunching = 0.5
	// maxColdWait is the longest wait for a turn at a cold target, also at a low rate.
	// Turns that have been granted can't be revoked when the target's quota moves to
	// another holder, and must be over when the other holder's lease counts.
	maxColdWait = 250 * time.Millisecond
	// coldLeaseDelay is the time after its begin for which a lease doesn't count for cold
	// targets: turns granted by the former holder may still be used then.
	coldLeaseDelay = maxColdWait + coldTurnLife
	// coldLeaseTime is how long a lease counts for cold targets after each renewal. It is
	// longer than renewInterval, and shorter than leaseTime by more than the longest delay
	// of a renewal.
	coldLeaseTime = 900 * time.Millisecond
	// coldTurnLife is how late a turn at a cold target may be used. A host that was frozen
	// would otherwise use all its turns at once.
	coldTurnLife = 200 * time.Millisecond
	// coldTolerance is the difference between two hosts' remaining cold times that the
	// delay of messages explains.
	coldTolerance = 500 * time.Millisecond
	// maxColdTime is the longest remaining cold time that is accepted from another host.
	maxColdTime = 10 * time.Minute
	// coldPruneDelay is the minimum time for which the state of a target is kept, since a
	// target whose entry has just been read is not in the snapshot yet.
	coldPruneDelay = 5 * time.Second
)

// noSequence is lower than the sequence of every entry.
const noSequence = math.MinInt64

// ColdBounds bounds the requests of all hosts to a cold target: Factor times the cold
// rate of its service, plus Slack, in any second. Without Factor there is no bound.
type ColdBounds struct {
	Factor, Slack float64
}

// rate returns the rate of all holders together that keeps to the bounds of a service
// with the given cold rate, in requests a second. It may be zero.
func (c ColdBounds) rate(coldRate float64) (rate float64, limited bool) {
	if c.Factor <= 0 || coldRate <= 0 {
		return 0, false
	}
	most := c.Factor*coldRate + c.Slack
	return max(0, min(coldRate, (most-maxColdHolders*coldBurst)/(1+coldBunching))), true
}

// coldState holds the cold time of a target's latest incarnation.
type coldState struct {
	target, service string
	born            int64
	// sequence is that of the latest entry that has been applied.
	sequence int64
	// until is the end of the cold time that an entry or a response has named.
	until time.Time
	// assumedAt is the start of the service's cold time for an incarnation that has
	// named none, or whose failure domain was put back into service; otherwise zero.
	assumedAt time.Time
	seenAt    time.Time
	// cold is the state that setCold has logged last. While it is not set, the target is
	// warm: only an entry, a response, a notice, a failure domain that is put back or a
	// configuration makes it cold, never the passing of time.
	cold bool
}

// left returns the remaining cold time, or zero.
func (st *coldState) left(coldTime time.Duration, now time.Time) time.Duration {
	left := st.until.Sub(now)
	if !st.assumedAt.IsZero() {
		left = max(left, st.assumedAt.Add(coldTime).Sub(now))
	}
	return max(0, left)
}

// ColdNotice informs another host that a target is cold.
type ColdNotice struct {
	Target, Service string
	Born, Sequence  int64
	Left            time.Duration
}

// valid reports whether a notice of another host can be used.
func (n *ColdNotice) valid() bool { return n.Target != "" && n.Service != "" && n.Left > 0 }

// SetColdBounds changes the bounds.
func (b *Table) SetColdBounds(c ColdBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Cold, b.coldTable = c, nil
}

// coldLimit returns the rate of all holders at cold targets of a service and its cold
// time; limited is false if cold targets are not limited. b.mu is held.
func (b *Table) coldLimit(service string) (rate float64, coldTime time.Duration, limited bool) {
	if b.Cold.Factor <= 0 || b.Catalog == nil {
		return 0, 0, false
	}
	if table := b.Catalog().Table; table != b.coldTable {
		b.applyColdTable(table)
	}
	s, limited := b.coldLimits[service]
	return s.rate, s.time, limited
}

// coldLimit is the rate of all holders at cold targets of a service and its cold time.
type coldLimit struct {
	rate float64
	time time.Duration
}

// applyColdTable applies the limits of the services in table, which may be nil, and
// updates which targets are cold; b.mu is held.
func (b *Table) applyColdTable(table *catalog.Table) {
	b.coldTable, b.coldLimits = table, map[string]coldLimit{}
	if table == nil {
		return
	}
	for name, s := range table.Services {
		if rate, limited := b.Cold.rate(s.ColdRate); limited {
			b.coldLimits[name] = coldLimit{rate, s.ColdTime}
		}
	}
	now := b.Clock.Now()
	for _, st := range b.cold {
		b.setCold(st, "configuration", now)
	}
}

// ObserveEntry applies the remaining cold time in a new entry of t. The latest entry
// counts. An entry without a cold time leaves that of a known incarnation unchanged; a
// new incarnation counts as cold.
func (b *Table) ObserveEntry(t *catalog.Target) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.cold[t.ID]
	switch {
	case st == nil || t.Born > st.born:
		st = b.addCold(t.ID, t.Service, t.Born, now)
	case t.Born != 0 && t.Born < st.born, t.Sequence <= st.sequence:
		return
	}
	st.service, st.sequence = t.Service, t.Sequence
	if t.Cold.Known {
		st.until, st.assumedAt = now.Add(t.Cold.Left), time.Time{}
	}
	b.recordCold(st, "entry", now)
}

// addCold adds a new incarnation of a target, which counts as cold; b.mu is held.
func (b *Table) addCold(id, service string, born int64, now time.Time) *coldState {
	if b.cold == nil {
		b.cold = map[string]*coldState{}
	}
	if former := b.cold[id]; former != nil && former.cold {
		b.logWarm(former, "new incarnation")
	}
	st := &coldState{target: id, service: service, born: born, sequence: noSequence, until: now, assumedAt: now, seenAt: now}
	b.cold[id] = st
	return st
}

// recordCold updates whether a target is cold and logs each change; b.mu is held. A
// target whose entries renew its cold time is logged once.
func (b *Table) recordCold(st *coldState, source string, now time.Time) {
	b.coldLimit(st.service)
	b.setCold(st, source, now)
}

// setCold is like recordCold but doesn't check for a new configuration first.
func (b *Table) setCold(st *coldState, source string, now time.Time) {
	limit, limited := b.coldLimits[st.service]
	left := st.left(limit.time, now)
	cold := limited && b.Cold.Factor > 0 && left > 0
	if cold == st.cold {
		return
	}
	st.cold = cold
	if !cold {
		b.logWarm(st, source)
		return
	}
	b.Log.Info("target is cold", zap.String("Target", st.target), zap.String("Service", st.service), zap.Int64("Born", st.born), zap.Int64("Sequence", st.sequence),
		zap.Duration("Left", left), zap.Float64("Rate", limit.rate), zap.String("Source", source))
	if b.onLimit != nil {
		b.onLimit(st.service)
	}
}

// logWarm logs that a target is cold no longer.
func (b *Table) logWarm(st *coldState, source string) {
	b.Log.Info("target is cold no longer", zap.String("Target", st.target), zap.String("Service", st.service), zap.Int64("Born", st.born), zap.String("Source", source))
}

// MarkDomainCold makes all targets of a failure domain in s cold for the cold times of
// their services from now on, until an entry written later says otherwise. It is called
// when the failure domain is put back into service.
func (b *Table) MarkDomainCold(s *catalog.Snapshot, domain string) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, targets := range s.Targets {
		for _, t := range targets {
			if t.Domain != domain {
				continue
			}
			st := b.cold[t.ID]
			if st == nil || t.Born > st.born {
				st = b.addCold(t.ID, t.Service, t.Born, now)
				st.sequence = t.Sequence
			}
			st.assumedAt = now
			b.recordCold(st, "failure domain put back", now)
		}
	}
}

// extendCold applies the remaining cold time in a response of t; b.mu is held. A response
// can only extend the time, since it is unknown which entries were written before it.
func (b *Table) extendCold(t *catalog.Target, left time.Duration, now time.Time) {
	st := b.cold[t.ID]
	if st == nil || t.Born > st.born {
		st = b.addCold(t.ID, t.Service, t.Born, now)
	}
	if until := now.Add(left); until.After(st.until) {
		st.until = until
	}
	b.recordCold(st, "response", now)
}

// applyNotices applies another host's notices of cold targets and logs invalid ones.
func (b *Table) applyNotices(notices []ColdNotice) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range notices {
		if n := &notices[i]; n.valid() {
			b.applyNotice(n, now)
			continue
		}
		b.Log.Info("notice of a cold target is not valid", zap.String("Target", notices[i].Target), zap.String("Service", notices[i].Service), zap.Duration("Left", notices[i].Left))
	}
}

// applyNotice applies a valid notice; b.mu is held. The latest entry counts. Of two times
// with the same entry the longer one counts, since a host may have extended it after a
// response or because the failure domain was put back.
func (b *Table) applyNotice(n *ColdNotice, now time.Time) {
	until := now.Add(min(n.Left, maxColdTime))
	st := b.cold[n.Target]
	switch {
	case st == nil || n.Born > st.born:
		st = b.addCold(n.Target, n.Service, n.Born, now)
		st.assumedAt = time.Time{}
		st.until, st.sequence = until, n.Sequence
	case n.Born < st.born, n.Sequence < st.sequence:
		return
	case n.Sequence > st.sequence:
		st.until, st.sequence, st.assumedAt = until, n.Sequence, time.Time{}
	case until.After(now.Add(b.coldLeft(st, now) + coldTolerance)):
		// A smaller difference comes from the delay of the message. Applying it would
		// let hosts extend the time by that delay again and again.
		st.until = until
	}
	b.recordCold(st, "peer", now)
}

// coldLeft returns the remaining cold time of st, or zero if its service doesn't limit
// cold targets; b.mu is held.
func (b *Table) coldLeft(st *coldState, now time.Time) time.Duration {
	_, coldTime, limited := b.coldLimit(st.service)
	if !limited {
		return 0
	}
	return st.left(coldTime, now)
}

// coldStateOf returns the state of a target whose service limits cold targets. An
// incarnation that was not seen before is cold; b.mu is held.
func (b *Table) coldStateOf(id, service string, born int64, now time.Time) *coldState {
	st := b.cold[id]
	if st == nil || born > st.born {
		st = b.addCold(id, service, born, now)
		b.recordCold(st, "first seen", now)
	}
	return st
}

// isWarm reports whether an incarnation of a target is known to be warm; b.mu is held. It
// doesn't read the clock, since it is called for each of many targets at every choice.
func (b *Table) isWarm(id string, born int64) bool {
	st := b.cold[id]
	return st != nil && born <= st.born && !st.cold
}

// ColdLeft returns the time for which t is still cold, or zero if cold targets of its
// service are not limited.
func (b *Table) ColdLeft(t *catalog.Target) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, _, limited := b.coldLimit(t.Service); !limited || b.isWarm(t.ID, t.Born) {
		return 0
	}
	now := b.Clock.Now()
	return b.coldLeft(b.coldStateOf(t.ID, t.Service, t.Born, now), now)
}

// ColdTargets returns the number of cold targets.
func (b *Table) ColdTargets() int {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, st := range b.cold {
		if b.coldLeft(st, now) > 0 {
			n++
		}
	}
	return n
}

// serviceNotices returns the notices of all cold targets of a service.
func (b *Table) serviceNotices(service string) []ColdNotice {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ColdNotice
	for _, st := range b.cold {
		if st.service == service {
			out = b.appendNotice(out, st, now)
		}
	}
	return out
}

// targetNotices returns the notices of those of targets that are cold.
func (b *Table) targetNotices(targets []*catalog.Target) []ColdNotice {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ColdNotice
	for _, t := range targets {
		if st := b.cold[t.ID]; st != nil {
			out = b.appendNotice(out, st, now)
		}
	}
	return out
}

// appendNotice appends the notice of st to out if the target is cold; b.mu is held.
func (b *Table) appendNotice(out []ColdNotice, st *coldState, now time.Time) []ColdNotice {
	left := b.coldLeft(st, now)
	if left == 0 {
		return out
	}
	return append(out, ColdNotice{Target: st.target, Service: st.service, Born: st.born, Sequence: st.sequence, Left: left})
}

// Turn is the right to send one request to a target.
type Turn struct {
	// AskedAt is the time at which the host asked for the turn, and Wait the time from
	// then until the request may be sent.
	AskedAt time.Time
	Wait    time.Duration
	// Cold is set if the turn was granted at the rate of a cold target.
	Cold bool
}

// TurnHolds reports whether the turn at t, after its wait, may be used now. At a cold
// target it may not if it was granted at another rate or if it is too late.
func (b *Table) TurnHolds(t *catalog.Target, turn Turn) bool {
	if b.ColdLeft(t) == 0 {
		return true
	}
	return turn.Cold && b.Clock.Since(turn.AskedAt) <= turn.Wait+coldTurnLife
}

// coldServices adds the services that have cold targets to services, and logs the
// targets whose cold time is over; b.mu is held.
func (b *Table) coldServices(services map[string]bool) {
	now := b.Clock.Now()
	for _, st := range b.cold {
		b.recordCold(st, "time", now)
		if st.cold {
			services[st.service] = true
		}
	}
}

// pruneCold removes the states of targets that are not in s; b.mu is held.
func (b *Table) pruneCold(s *catalog.Snapshot) {
	now := b.Clock.Now()
	for id, st := range b.cold {
		if !s.Has(id) && now.Sub(st.seenAt) > coldPruneDelay {
			if st.cold {
				b.logWarm(st, "removed")
			}
			delete(b.cold, id)
		}
	}
}

// allowance is the rate of all hosts together at a target.
type allowance struct {
	// rate is in requests a second.
	rate float64
	// cold is set if the target is cold. The rate is then a limit in every second, so that
	// unused requests can't be made up for later.
	cold bool
	// born is the latest known incarnation if the target is cold, otherwise the requested
	// one. A request for a former incarnation reaches the same process.
	born int64
}

// allowance returns the lower of the limit that an incarnation of a target has named
// and, while it is cold, the cold rate of its service. If neither applies, limited is
// false.
func (b *Table) allowance(service string, key quotaKey) (a allowance, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.born = key.born
	if st := b.targets[key.target]; st != nil && st.Born == key.born && st.Limited {
		a.rate, limited = max(st.Limit, trialRate), true
	}
	rate, _, coldLimited := b.coldLimit(service)
	if !coldLimited || b.isWarm(key.target, key.born) {
		return a, limited
	}
	now := b.Clock.Now()
	st := b.coldStateOf(key.target, service, key.born, now)
	if b.coldLeft(st, now) == 0 {
		return a, limited
	}
	if !limited || rate < a.rate {
		a.rate = rate
	}
	a.cold, a.born = true, st.born
	return a, true
}
