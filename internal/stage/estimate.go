package stage

import (
	"time"
)

// outlook estimates the waits of a job that comes now.
func (q *queue) waitEstimate(now time.Time) Outlook {
	if q.pool == nil || len(q.targets) == 0 {
		return Outlook{}
	}
	ahead, all, call := 0, 0, q.callTime()
	for _, j := range q.jobs {
		all += len(j.waiting)
		if !tooLate(j, call, now) {
			ahead += len(j.waiting)
		}
	}
	piece := q.perPiece()
	return Outlook{Ahead: time.Duration(ahead) * piece, All: time.Duration(all) * piece, PerPiece: piece}
}

// perPiece is the time in which all targets make one piece: as measured while
// jobs waited, and not less than full calls would take.
func (q *queue) perPiece() time.Duration {
	full := q.expected(q.pool.Batch) / time.Duration(q.pool.Batch*len(q.targets))
	return max(full, min(q.measuredPerPiece, maxPieceFactor*full))
}

// measure notes pieces that were made, and learns their pace from the times in
// which jobs waited.
func (q *queue) measure(now time.Time, waiting bool) {
	if !waiting || now.Sub(q.busySince) > 2*measureInterval {
		q.busySince, q.busyPieces = now, 0
		return
	}
	busy := now.Sub(q.busySince)
	if busy < measureInterval || q.busyPieces == 0 {
		return
	}
	sample := busy / time.Duration(q.busyPieces)
	if q.measuredPerPiece == 0 {
		q.measuredPerPiece = sample
	}
	q.measuredPerPiece += time.Duration(measureWeight * float64(sample-q.measuredPerPiece))
	q.busySince, q.busyPieces = now, 0
}

// comingPieces is a host's number of pieces on their way and when it told.
type upcomingPieces struct {
	pieces int
	at     time.Time
}

// outlooks takes what a host tells of its pieces on the way and returns the
// outlook of each service that has any here.
func (b *Batcher) waitEstimates(r SignOfLife) map[string]Outlook {
	out := map[string]Outlook{}
	b.do(func() {
		now := b.Clock.Now()
		for service, pieces := range r.Coming {
			if b.upcoming[service] == nil {
				b.upcoming[service] = map[string]upcomingPieces{}
			}
			b.upcoming[service][r.Host] = upcomingPieces{pieces, now}
			b.queue(service).refresh(b.Catalog())
		}
		for service, q := range b.queues {
			out[service] = b.waitEstimate(q, now)
		}
	})
	return out
}

// outlook is that of l with the pieces on their way.
func (b *Batcher) waitEstimate(q *queue, now time.Time) Outlook {
	o := q.waitEstimate(now)
	for host, c := range b.upcoming[q.service] {
		if now.Sub(c.at) > estimateLifetime {
			delete(b.upcoming[q.service], host)
			continue
		}
		o.Coming += c.pieces
	}
	return o
}

// seenOutlook is an outlook and the time at which it was learned.
type receivedEstimate struct {
	Outlook
	at time.Time
}

// learn takes the time of a job into account. Jobs that were late waited behind
// those that were not, and say nothing of them.
func (c *Client) recordOutcome(j Job, o Outcome) {
	c.storeEstimates(map[string]Outlook{j.Service: o.Outlook})
	took := o.Queued + o.Ran
	if o.Fault != None || took > j.Due {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usualTimes == nil {
		c.usualTimes = map[string]time.Duration{}
	}
	old, ok := c.usualTimes[j.Service]
	if !ok {
		old = took
	}
	c.usualTimes[j.Service] = old + time.Duration(usualTimeWeight*float64(took-old))
}

// Usual returns the usual time of a job of service from its sending to its
// results, or zero if none is known.
func (c *Client) UsualTime(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usualTimes[service]
}

// see keeps outlooks.
func (c *Client) storeEstimates(outlooks map[string]Outlook) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitEstimates == nil {
		c.waitEstimates = map[string]receivedEstimate{}
	}
	for service, o := range outlooks {
		c.waitEstimates[service] = receivedEstimate{o, now}
	}
}

// Outlook returns the last outlook of service with what is on its way there: all
// hosts' pieces as they last told, and this host's as they are. An outlook that
// is too old says nothing, since a host without jobs at the former hears of none.
func (c *Client) WaitEstimate(service string) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.waitEstimates[service]
	if c.Clock.Since(seen.at) > estimateLifetime {
		return Outlook{}
	}
	o := seen.Outlook
	o.Coming = max(0, o.Coming-c.reportedUpcoming[service]+c.upcoming[service])
	coming := time.Duration(o.Coming) * o.PerPiece
	o.Ahead += coming
	o.All += coming
	return o
}

// Expect notes that pieces for service will come from earlier stages, or, with a
// negative number, that they have come or won't.
func (c *Client) AddUpcoming(service string, pieces int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upcoming == nil {
		c.upcoming = map[string]int{}
	}
	c.upcoming[service] += pieces
}
