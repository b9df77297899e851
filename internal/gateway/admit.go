package gateway

import (
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/pkg/result"
)

// after is the expected time from the end of stage i to the first event.
func (p *plan) remainingTime(i int) time.Duration {
	return p.longestPathAfter(i, func(service string, least time.Duration) time.Duration {
		return max(least, p.h.Stages.Usual(service))
	})
}

// longest returns the longest time from the end of stage i to the first event,
// where took gives the time of a stage from its least time.
func (p *plan) longestPathAfter(i int, took func(service string, least time.Duration) time.Duration) time.Duration {
	table := p.h.Follower.Snapshot().Table
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if slices.Contains(s.After, i) {
			longest = max(longest, took(s.Service, expectedCallTime(table, s.Service, p.pieceCount(k)))+p.longestPathAfter(k, took))
		}
	}
	return longest
}

// whole returns the longest time from now to the first event.
func (p *plan) longestPath(took func(service string, least time.Duration) time.Duration) time.Duration {
	table := p.h.Follower.Snapshot().Table
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if len(s.After) == 0 && p.pieceCount(k) > 0 {
			longest = max(longest, took(s.Service, expectedCallTime(table, s.Service, p.pieceCount(k)))+p.longestPathAfter(k, took))
		}
	}
	return longest
}

// admit refuses a request whose stages would keep it waiting too long, before
// anything of it runs. One that can be on time is taken; one that can't is taken
// only while the queues are short enough for it to end soon.
func (p *plan) admit() error {
	onTime := p.longestPath(func(service string, least time.Duration) time.Duration {
		return max(p.h.Stages.Usual(service), least+p.h.Stages.Outlook(service).Ahead)
	})
	now := p.h.Clock.Now()
	if !now.Add(onTime).After(p.q.softDeadline()) {
		return nil
	}
	late := p.longestPath(func(service string, least time.Duration) time.Duration {
		return least + p.h.Stages.Outlook(service).All
	})
	if now.Add(late).Before(p.q.softDeadline().Add(maxLateness)) {
		return nil
	}
	return retryLater(result.Overloaded, min(max(late-maxLateness, minRetryAfter), p.q.deadline.Sub(now)/retryAfterDivisor),
		"the stages would take %v, and %v with the queues, of %v", onTime, late, p.q.softDeadline().Sub(now))
}

// expect tells the formers of the stages that will come.
func (p *plan) announceStages() {
	p.announced = make([]bool, len(p.q.route.Stages))
	for i, s := range p.q.route.Stages {
		if len(s.After) > 0 && p.pieceCount(i) > 0 {
			p.announced[i] = true
			p.h.Stages.Expect(s.Service, p.pieceCount(i))
		}
	}
}

// arrive notes that stage i has come, or won't.
func (p *plan) withdrawAnnouncement(i int) {
	p.mu.Lock()
	coming := p.announced != nil && p.announced[i]
	if coming {
		p.announced[i] = false
	}
	p.mu.Unlock()
	if coming {
		p.h.Stages.Expect(p.q.route.Stages[i].Service, -p.pieceCount(i))
	}
}

// Bounds of admission.
const (
	// lateAllowance is how late a request may be expected to be that is taken
	// nevertheless.
	maxLateness = 2500 * time.Millisecond
	// minRetry is the least time to come back; retryShare limits it to that share
	// of the time left, beyond which callers don't wait.
	minRetryAfter     = 300 * time.Millisecond
	retryAfterDivisor = 4
)

// stageTime is the expected time of a call of so many pieces.
func expectedCallTime(table *catalog.Table, service string, pieces int) time.Duration {
	svc := table.Services[service]
	if svc == nil || svc.Pool == nil {
		return 0
	}
	return svc.Pool.CallTime + time.Duration(pieces)*svc.Pool.PieceTime
}
