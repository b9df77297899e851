package stage

import (
	"time"
)

// waitEstimate estimates the waits of a job that arrives now.
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

// perPiece returns the time per piece of all targets together, as measured while
// jobs waited, but not less than that of full calls.
func (q *queue) perPiece() time.Duration {
	full := q.expected(q.pool.Batch) / time.Duration(q.pool.Batch*len(q.targets))
	return max(full, min(q.measuredPerPiece, maxPieceFactor*full))
}

// measurePerPiece updates the measured time per piece. Only times during which
// jobs wait count.
func (q *queue) measurePerPiece(now time.Time, waiting bool) {
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

// upcomingPieces is the number of upcoming pieces that a host reported, and the
// time of its report.
type upcomingPieces struct {
	pieces int
	at     time.Time
}

// waitEstimates records the upcoming pieces in a host's heartbeat and returns the
// wait estimate of each service that has a queue here.
func (b *Batcher) waitEstimates(r SignOfLife) map[string]Outlook {
	out := map[string]Outlook{}
	b.do(func() {
		now := b.Clock.Now()
		b.syncReservations(r, now)
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

// waitEstimate returns the wait estimate of q with its upcoming pieces. A reservation
// counts as upcoming until its job is expected and like waiting pieces from then on.
func (b *Batcher) waitEstimate(q *queue, now time.Time) Outlook {
	o := q.waitEstimate(now)
	for host, c := range b.upcoming[q.service] {
		if now.Sub(c.at) > estimateLifetime {
			delete(b.upcoming[q.service], host)
			continue
		}
		o.Coming += c.pieces
	}
	since := now.Sub(q.epoch)
	for _, r := range q.reserved {
		if r.start > since {
			o.Coming += r.Pieces
			continue
		}
		wait := time.Duration(r.Pieces) * o.PerPiece
		o.Ahead += wait
		o.All += wait
	}
	return o
}

// receivedEstimate is a wait estimate and the time of its receipt.
type receivedEstimate struct {
	Outlook
	at time.Time
}

// storeEstimates stores wait estimates received from a batcher.
func (c *Client) storeEstimates(estimates map[string]Outlook) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitEstimates == nil {
		c.waitEstimates = map[string]receivedEstimate{}
	}
	for service, o := range estimates {
		c.waitEstimates[service] = receivedEstimate{o, now}
	}
}

// WaitEstimate returns the last wait estimate of service, including the upcoming
// pieces: those of other hosts as last reported, and the current number of this
// host. An estimate that is too old is not used, since a host without jobs at the
// batcher receives none.
func (c *Client) WaitEstimate(service string) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.waitEstimates[service]
	if c.Clock.Since(received.at) > estimateLifetime {
		return Outlook{}
	}
	o := received.Outlook
	o.Coming = max(0, o.Coming-c.reportedUpcoming[service]+c.upcoming[service])
	coming := time.Duration(o.Coming) * o.PerPiece
	o.Ahead += coming
	o.All += coming
	return o
}

// AddUpcoming records that earlier stages will send pieces to service. A negative
// number records that they have been sent or won't be.
func (c *Client) AddUpcoming(service string, pieces int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upcoming == nil {
		c.upcoming = map[string]int{}
	}
	if c.upcoming[service] += pieces; c.upcoming[service] == 0 {
		delete(c.upcoming, service)
	}
}
