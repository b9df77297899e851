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
	// own domain.
	largeMove = 256 << 10
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
	// call is the time of a call as it was when the jobs were last ordered.
	call time.Duration

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
	l.targets = s.ActiveTargets(l.service)
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

// callTime is how long a call takes that is formed now, with its share of the
// pieces that wait and at the pace of the targets.
func (l *line) callTime() time.Duration {
	pieces, pace, n := 0, 0.0, 0
	for _, j := range l.jobs {
		pieces += len(j.waiting)
	}
	for _, t := range l.targets {
		if w := l.workers[t.ID]; w != nil {
			pace += w.pace
			n++
		}
	}
	if n == 0 {
		pace, n = 1, 1
	}
	share := max(1, min(l.pool.Batch, pieces/max(1, len(l.targets))))
	return time.Duration(float64(l.expected(share)) * pace / float64(n))
}

// tooLate reports whether j can't be on time any more where a call takes that
// long.
func tooLate(j *job, call time.Duration, now time.Time) bool { return j.due.Before(now.Add(call)) }

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
	if !l.anyFree(now) {
		return
	}
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
