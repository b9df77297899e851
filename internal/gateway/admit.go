package gateway

import (
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/pkg/result"
)

// after is the expected time from the end of stage i to the first event.
func (p *plan) after(i int) time.Duration {
	return p.longest(i, func(service string, least time.Duration) time.Duration {
		return max(least, p.h.Stages.UsualTime(service))
	})
}

// longest returns the longest time from the end of stage i to the first event,
// where took gives the time of a stage from its least time.
func (p *plan) longest(i int, took func(service string, least time.Duration) time.Duration) time.Duration {
	table := p.h.Follower.Snapshot().Table
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if slices.Contains(s.After, i) {
			longest = max(longest, took(s.Service, stageTime(table, s.Service, p.pieces(k)))+p.longest(k, took))
		}
	}
	return longest
}

// whole returns the longest time from now to the first event.
func (p *plan) whole(took func(service string, least time.Duration) time.Duration) time.Duration {
	table := p.h.Follower.Snapshot().Table
	longest := engineTime
	for k, s := range p.q.route.Stages {
		if len(s.After) == 0 && p.pieces(k) > 0 {
			longest = max(longest, took(s.Service, stageTime(table, s.Service, p.pieces(k)))+p.longest(k, took))
		}
	}
	return longest
}

// admit refuses a request whose stages would keep it waiting too long, before
// anything of it runs. One that can be on time is taken; one that can't is taken
// only while the queues are short enough for it to end soon.
func (p *plan) admit() error {
	onTime := p.whole(func(service string, least time.Duration) time.Duration {
		return max(p.h.Stages.UsualTime(service), least+p.h.Stages.WaitEstimate(service).Ahead)
	})
	now := p.h.Clock.Now()
	if !now.Add(onTime).After(p.q.due()) {
		return nil
	}
	late := p.whole(func(service string, least time.Duration) time.Duration {
		return least + p.h.Stages.WaitEstimate(service).All
	})
	if now.Add(late).Before(p.q.due().Add(lateAllowance)) {
		return nil
	}
	return later(result.Overloaded, min(max(late-lateAllowance, minRetry), p.q.until.Sub(now)/retryShare),
		"the stages would take %v, and %v with the queues, of %v", onTime, late, p.q.due().Sub(now))
}

// expect tells the formers of the stages that will come.
func (p *plan) expect() {
	p.coming = make([]bool, len(p.q.route.Stages))
	for i, s := range p.q.route.Stages {
		if len(s.After) > 0 && p.pieces(i) > 0 {
			p.coming[i] = true
			p.h.Stages.AddUpcoming(s.Service, p.pieces(i))
		}
	}
}

// arrive notes that stage i has come, or won't.
func (p *plan) arrive(i int) {
	p.mu.Lock()
	coming := p.coming != nil && p.coming[i]
	if coming {
		p.coming[i] = false
	}
	p.mu.Unlock()
	if coming {
		p.h.Stages.AddUpcoming(p.q.route.Stages[i].Service, -p.pieces(i))
	}
}

// Bounds of admission.
const (
	// lateAllowance is how late a request may be expected to be that is taken
	// nevertheless.
	lateAllowance = 2500 * time.Millisecond
	// minRetry is the least time to come back; retryShare limits it to that share
	// of the time left, beyond which callers don't wait.
	minRetry   = 300 * time.Millisecond
	retryShare = 4
)

// stageTime is the expected time of a call of so many pieces.
func stageTime(table *catalog.Table, service string, pieces int) time.Duration {
	svc := table.Services[service]
	if svc == nil || svc.Pool == nil {
		return 0
	}
	return svc.Pool.CallTime + time.Duration(pieces)*svc.Pool.PieceTime
}
