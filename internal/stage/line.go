package stage

import (
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// Bounds and weights of the choice of calls.
const (
	// maxFailures is the number of failures of each piece after which a job ends.
	maxFailures = 2
	// largeMove is the size in bytes from which a job waits for a target in its
	// own domain, at most for domainPatience and while domainSlack calls fit into
	// the time that is left.
	largeMove      = 256 << 10
	domainPatience = 400 * time.Millisecond
	domainSlack    = 2
	// rejectPause, roomPause and failPause keep a target from new calls. The first
	// doubles up to maxRejectDoubling times.
	rejectPause       = 40 * time.Millisecond
	maxRejectDoubling = 4
	roomPause         = 60 * time.Millisecond
	failPause         = 400 * time.Millisecond
	// maxFailPause bounds the pause that doubles with each failure in a row.
	maxFailPause = 3 * time.Second
	// slowFactor is how many times as long as the fastest target's a target's
	// calls may take before it is left off; slowProbe is the time after which it
	// gets a call again.
	slowFactor = 2.5
	slowProbe  = 2 * time.Second
	// paceWeight is the weight of the newest call in a target's pace.
	paceWeight = 0.3
	// timeoutFactor times the expected time, plus timeoutMargin, bounds a call.
	timeoutFactor = 3
	timeoutMargin = 300 * time.Millisecond
	// measureTime is the time over which the pace of all targets is measured,
	// measureWeight the weight of the newest measurement, and maxPieceFactor
	// bounds the pace against that of full calls.
	measureTime    = 500 * time.Millisecond
	measureWeight  = 0.3
	maxPieceFactor = 4
)

// line is the queue of one service.
type line struct {
	service string
	pool    *catalog.Pool
	targets []*catalog.Target
	jobs    []*job
	workers map[string]*worker

	// measured is the time in which the targets make one piece while jobs wait.
	// busySince is when jobs began to wait, busyMade the pieces made since.
	measured  time.Duration
	busySince time.Time
	busyMade  int

	// means are the mean worths of jobs by rank.
	means map[int]float64
}

// waiting reports whether any piece waits for a call.
func (l *line) waiting() bool {
	for _, j := range l.jobs {
		if len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

func (f *Former) line(service string) *line {
	l := f.lines[service]
	if l == nil {
		l = &line{service: service, workers: map[string]*worker{}}
		f.lines[service] = l
	}
	return l
}

func (l *line) worker(id string) *worker {
	w := l.workers[id]
	if w == nil {
		w = &worker{pace: 1}
		l.workers[id] = w
	}
	return w
}

// refresh takes the targets in force.
func (l *line) refresh(s *catalog.Snapshot) {
	l.targets, l.pool = nil, nil
	if s.Table == nil {
		return
	}
	if svc := s.Table.Services[l.service]; svc != nil {
		l.pool = svc.Pool
	}
	l.targets = s.TargetsOf(l.service)
}

// expected returns the time of a call of so many pieces at a target of usual
// speed.
func (l *line) expected(pieces int) time.Duration {
	return l.pool.CallTime + time.Duration(pieces)*l.pool.PieceTime
}

func (l *line) timeout(w *worker, expected time.Duration) time.Duration {
	return time.Duration(timeoutFactor*max(1, w.pace)*float64(expected)) + timeoutMargin
}

// life is how long a result stays at its maker.
func (l *line) life() time.Duration {
	if l.pool == nil {
		return 0
	}
	return l.pool.ResultLife
}

// drop takes j out of the queue.
func (l *line) drop(j *job) {
	for i, other := range l.jobs {
		if other == j {
			l.jobs = append(l.jobs[:i], l.jobs[i+1:]...)
			return
		}
	}
}

// expire forgets results that have lapsed and targets without a trace.
func (l *line) expire(now time.Time) {
	for id, w := range l.workers {
		for handle, r := range w.results {
			if !r.until.After(now) {
				w.forget(handle)
			}
		}
		if w.idleSince(now) > workerMemory {
			delete(l.workers, id)
		}
	}
}

// workerMemory is how long the figures of an unused target are kept.
const workerMemory = time.Minute

// outlook estimates the waits of a job that comes now.
func (l *line) outlook(now time.Time) Outlook {
	if l.pool == nil || len(l.targets) == 0 {
		return Outlook{}
	}
	ahead, all := 0, 0
	for _, j := range l.jobs {
		all += len(j.waiting)
		if !l.tooLate(j, now) {
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

// tooLate reports whether j can't be on time any more.
func (l *line) tooLate(j *job, now time.Time) bool { return j.due.Before(now.Add(l.expected(1))) }

// dispatch forms calls for the targets that have a free slot.
func (f *Former) dispatch(l *line) {
	if len(l.jobs) == 0 {
		return
	}
	l.refresh(f.Catalog())
	if l.pool == nil || len(l.targets) == 0 {
		return
	}
	now := f.Clock.Now()
	l.order(now)
	for i := 0; i < len(l.jobs); {
		j := l.jobs[i]
		if len(j.waiting) == 0 {
			i++
			continue
		}
		w, t := l.choose(j, now)
		if w == nil {
			i++
			continue
		}
		c := l.form(j, w, t, now)
		if c == nil {
			i++
			continue
		}
		f.start(l, w, t, c)
	}
}

// choose returns the best free target for j, or nil.
func (l *line) choose(j *job, now time.Time) (*worker, *catalog.Target) {
	var best *worker
	var at *catalog.Target
	fastest := l.fastest(now)
	local := l.wantsDomain(j, now)
	for _, t := range l.targets {
		w := l.worker(t.ID)
		if !l.free(w, now) || local && t.Domain != j.Domain {
			continue
		}
		if w.pace > slowFactor*fastest && now.Sub(w.lastUsed) < slowProbe {
			continue
		}
		if l.pieces(j, w, now) == 0 {
			continue
		}
		if best == nil || better(w, t, best, at, j.Domain) {
			best, at = w, t
		}
	}
	return best, at
}

// better prefers a target in the domain, then the faster one.
func better(w *worker, t *catalog.Target, best *worker, at *catalog.Target, domain string) bool {
	if (t.Domain == domain) != (at.Domain == domain) {
		return t.Domain == domain
	}
	return w.pace < best.pace
}

// wantsDomain reports whether j should wait for a target of its own domain.
func (l *line) wantsDomain(j *job, now time.Time) bool {
	if j.Domain == "" || j.MoveBytes < largeMove || now.Sub(j.arrived) > domainPatience {
		return false
	}
	if j.due.Sub(now) < domainSlack*l.expected(min(j.Pieces, l.pool.Batch)) {
		return false
	}
	for _, t := range l.targets {
		if t.Domain == j.Domain && !l.worker(t.ID).pausedUntil.After(now) {
			return true
		}
	}
	return false
}

func (l *line) free(w *worker, now time.Time) bool {
	return w.calls < max(1, l.pool.Slots) && !w.pausedUntil.After(now)
}

// fastest returns the least pace among the usable targets.
func (l *line) fastest(now time.Time) float64 {
	least := 0.0
	for _, t := range l.targets {
		w := l.worker(t.ID)
		if w.pausedUntil.After(now) {
			continue
		}
		if least == 0 || w.pace < least {
			least = w.pace
		}
	}
	return least
}

// pieces returns how many waiting pieces of j an empty call at w may take.
func (l *line) pieces(j *job, w *worker, now time.Time) int {
	return l.fitting(j, w, 0, 0, now)
}

// fitting returns how many waiting pieces of j fit in a call that has taken so
// many pieces and bytes. A job is not split unless it is larger than a call, or
// than the room of an empty target.
func (l *line) fitting(j *job, w *worker, taken int, bytes int64, now time.Time) int {
	n := min(len(j.waiting), l.pool.Batch-taken)
	if j.PieceBytes > 0 && l.pool.RoomBytes > 0 {
		room := l.pool.RoomBytes - w.used(now) - bytes
		n = min(n, int(max(0, room)/j.PieceBytes))
	}
	if n == len(j.waiting) {
		return n
	}
	if taken == 0 && (len(j.waiting) > l.pool.Batch || w.used(now) == 0) {
		return n
	}
	return 0
}

// form makes a call at w that begins with j and takes what else fits.
func (l *line) form(j *job, w *worker, t *catalog.Target, now time.Time) *call {
	c := &call{}
	bytes := c.add(j, l.pieces(j, w, now))
	for _, other := range l.jobs {
		if len(c.parts) >= l.pool.Batch {
			break
		}
		if other == j || len(other.waiting) == 0 || l.wantsDomain(other, now) && other.Domain != t.Domain {
			continue
		}
		bytes += c.add(other, l.fitting(other, w, len(c.parts), bytes, now))
	}
	if len(c.parts) == 0 {
		return nil
	}
	return c
}

// call is one call at a target.
type call struct {
	parts    []part
	begun    time.Time
	expected time.Duration
	// room is what this former's results left free at the target when the call
	// began, less the results that it made.
	room int64
}

// part is one piece in a call.
type part struct {
	job    *job
	number int
}

// add moves n waiting pieces of j into c and returns their size in bytes.
func (c *call) add(j *job, n int) int64 {
	for _, number := range j.waiting[:n] {
		c.parts = append(c.parts, part{j, number})
	}
	j.waiting = j.waiting[n:]
	return int64(n) * j.PieceBytes
}

// pieces returns what the target is asked for.
func (c *call) pieces(now time.Time) []Piece {
	out := make([]Piece, len(c.parts))
	for i, p := range c.parts {
		out[i] = Piece{
			RequestID: p.job.RequestID,
			Stage:     p.job.Stage,
			Number:    p.number,
			Key:       p.job.Key,
			Inputs:    p.job.Inputs,
			Left:      p.job.until.Sub(now),
		}
	}
	return out
}
