package stage

import (
	"time"
)

// outlook estimates the waits of a job that comes now.
func (l *line) outlook(now time.Time) Outlook {
	if l.pool == nil || len(l.targets) == 0 {
		return Outlook{}
	}
	ahead, all, call := 0, 0, l.callTime()
	for _, j := range l.jobs {
		all += len(j.waiting)
		if !tooLate(j, call, now) {
			ahead += len(j.waiting)
		}
	}
	piece := l.perPiece()
	return Outlook{Ahead: time.Duration(ahead) * piece, All: time.Duration(all) * piece, PerPiece: piece}
}

// perPiece is the time in which all targets make one piece: as measured while
// jobs waited, and not less than full calls would take.
func (l *line) perPiece() time.Duration {
	full := l.expected(l.pool.Batch) / time.Duration(l.pool.Batch*len(l.targets))
	return max(full, min(l.measured, maxPieceFactor*full))
}

// measure notes pieces that were made, and learns their pace from the times in
// which jobs waited.
func (l *line) measure(now time.Time, waiting bool) {
	if !waiting || now.Sub(l.busySince) > 2*measureTime {
		l.busySince, l.busyMade = now, 0
		return
	}
	busy := now.Sub(l.busySince)
	if busy < measureTime || l.busyMade == 0 {
		return
	}
	sample := busy / time.Duration(l.busyMade)
	if l.measured == 0 {
		l.measured = sample
	}
	l.measured += time.Duration(measureWeight * float64(sample-l.measured))
	l.busySince, l.busyMade = now, 0
}

// comingPieces is a host's number of pieces on their way and when it told.
type comingPieces struct {
	pieces int
	at     time.Time
}

// outlooks takes what a host tells of its pieces on the way and returns the
// outlook of each service that has any here.
func (f *Former) outlooks(r SignOfLife) map[string]Outlook {
	out := map[string]Outlook{}
	f.do(func() {
		now := f.Clock.Now()
		for service, pieces := range r.Coming {
			if f.coming[service] == nil {
				f.coming[service] = map[string]comingPieces{}
			}
			f.coming[service][r.Host] = comingPieces{pieces, now}
			f.line(service).refresh(f.Catalog())
		}
		for service, l := range f.lines {
			out[service] = f.outlook(l, now)
		}
	})
	return out
}

// outlook is that of l with the pieces on their way.
func (f *Former) outlook(l *line, now time.Time) Outlook {
	o := l.outlook(now)
	for host, c := range f.coming[l.service] {
		if now.Sub(c.at) > outlookLife {
			delete(f.coming[l.service], host)
			continue
		}
		o.Coming += c.pieces
	}
	return o
}

// seenOutlook is an outlook and the time at which it was learned.
type seenOutlook struct {
	Outlook
	at time.Time
}

// learn takes the time of a job into account. Jobs that were late waited behind
// those that were not, and say nothing of them.
func (c *Client) learn(j Job, o Outcome) {
	c.see(map[string]Outlook{j.Service: o.Outlook})
	took := o.Queued + o.Ran
	if o.Fault != None || took > j.Due {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.took == nil {
		c.took = map[string]time.Duration{}
	}
	old, ok := c.took[j.Service]
	if !ok {
		old = took
	}
	c.took[j.Service] = old + time.Duration(tookWeight*float64(took-old))
}

// Usual returns the usual time of a job of service from its sending to its
// results, or zero if none is known.
func (c *Client) Usual(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.took[service]
}

// see keeps outlooks.
func (c *Client) see(outlooks map[string]Outlook) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outlooks == nil {
		c.outlooks = map[string]seenOutlook{}
	}
	for service, o := range outlooks {
		c.outlooks[service] = seenOutlook{o, now}
	}
}

// Outlook returns the last outlook of service with what is on its way there: all
// hosts' pieces as they last told, and this host's as they are. An outlook that
// is too old says nothing, since a host without jobs at the former hears of none.
func (c *Client) Outlook(service string) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.outlooks[service]
	if c.Clock.Since(seen.at) > outlookLife {
		return Outlook{}
	}
	o := seen.Outlook
	o.Coming = max(0, o.Coming-c.told[service]+c.coming[service])
	coming := time.Duration(o.Coming) * o.PerPiece
	o.Ahead += coming
	o.All += coming
	return o
}

// Expect notes that pieces for service will come from earlier stages, or, with a
// negative number, that they have come or won't.
func (c *Client) Expect(service string, pieces int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coming == nil {
		c.coming = map[string]int{}
	}
	c.coming[service] += pieces
}
