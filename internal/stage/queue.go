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
	largeMoveBytes = 256 << 10
	// rejectPause, roomPause and failPause keep a target from new calls. The first
	// doubles up to maxRejectDoubling times.
	rejectPause       = 40 * time.Millisecond
	maxRejectDoubling = 4
	memoryPause       = 60 * time.Millisecond
	failPause         = 400 * time.Millisecond
	// maxFailPause bounds the pause that doubles with each failure in a row.
	maxFailPause = 3 * time.Second
	// slowFactor is how many times as long as the fastest target's a target's
	// calls may take before it is left off; slowProbe is the time after which it
	// gets a call again.
	slowFactor        = 2.5
	slowProbeInterval = 2 * time.Second
	// paceWeight is the weight of the newest call in a target's pace.
	paceWeight = 0.3
	// timeoutFactor times the expected time, plus timeoutMargin, bounds a call.
	timeoutFactor = 3
	timeoutMargin = 300 * time.Millisecond
	// measureTime is the time over which the pace of all targets is measured,
	// measureWeight the weight of the newest measurement, and maxPieceFactor
	// bounds the pace against that of full calls.
	measureInterval = 500 * time.Millisecond
	measureWeight   = 0.3
	maxPieceFactor  = 4
)

// line is the queue of one service.
type queue struct {
	service      string
	pool         *catalog.Pool
	targets      []*catalog.Target
	jobs         []*job
	targetStates map[string]*targetState
	// call is the time of a call as it was when the jobs were last ordered.
	callTimeAtOrder time.Duration

	// measured is the time in which the targets make one piece while jobs wait.
	// busySince is when jobs began to wait, busyMade the pieces made since.
	measuredPerPiece time.Duration
	busySince        time.Time
	busyPieces       int

	// means are the mean worths of jobs by rank.
	meanWorth map[int]float64
}

// waiting reports whether any piece waits for a call.
func (q *queue) hasWaiting() bool {
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

func (b *Batcher) queue(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = &queue{service: service, targetStates: map[string]*targetState{}}
		b.queues[service] = q
	}
	return q
}

func (q *queue) targetState(id string) *targetState {
	s := q.targetStates[id]
	if s == nil {
		s = &targetState{pace: 1}
		q.targetStates[id] = s
	}
	return s
}

// refresh takes the targets in force.
func (q *queue) refresh(s *catalog.Snapshot) {
	q.targets, q.pool = nil, nil
	if s.Table == nil {
		return
	}
	if svc := s.Table.Services[q.service]; svc != nil {
		q.pool = svc.Pool
	}
	q.targets = s.TargetsOf(q.service)
}

// expected returns the time of a call of so many pieces at a target of usual
// speed.
func (q *queue) expected(pieces int) time.Duration {
	return q.pool.CallTime + time.Duration(pieces)*q.pool.PieceTime
}

func (q *queue) timeout(s *targetState, expected time.Duration) time.Duration {
	return time.Duration(timeoutFactor*max(1, s.pace)*float64(expected)) + timeoutMargin
}

// life is how long a result stays at its maker.
func (q *queue) resultLifetime() time.Duration {
	if q.pool == nil {
		return 0
	}
	return q.pool.ResultLife
}

// drop takes j out of the queue.
func (q *queue) removeJob(j *job) {
	for i, other := range q.jobs {
		if other == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return
		}
	}
}

// expire forgets results that have lapsed and targets without a trace.
func (q *queue) expire(now time.Time) {
	for id, s := range q.targetStates {
		for handle, r := range s.results {
			if !r.expires.After(now) {
				s.removeResult(handle)
			}
		}
		if s.idleTime(now) > idleTargetLifetime {
			delete(q.targetStates, id)
		}
	}
}

// workerMemory is how long the figures of an unused target are kept.
const idleTargetLifetime = time.Minute

// callTime is how long a call takes that is formed now, with its share of the
// pieces that wait and at the pace of the targets.
func (q *queue) callTime() time.Duration {
	pieces, pace, n := 0, 0.0, 0
	for _, j := range q.jobs {
		pieces += len(j.waiting)
	}
	for _, t := range q.targets {
		if s := q.targetStates[t.ID]; s != nil {
			pace += s.pace
			n++
		}
	}
	if n == 0 {
		pace, n = 1, 1
	}
	share := max(1, min(q.pool.Batch, pieces/max(1, len(q.targets))))
	return time.Duration(float64(q.expected(share)) * pace / float64(n))
}

// tooLate reports whether j can't be on time any more where a call takes that
// long.
func tooLate(j *job, call time.Duration, now time.Time) bool { return j.due.Before(now.Add(call)) }

// dispatch forms calls for the targets that have a free slot.
func (b *Batcher) dispatch(q *queue) {
	if len(q.jobs) == 0 {
		return
	}
	q.refresh(b.Catalog())
	if q.pool == nil || len(q.targets) == 0 {
		return
	}
	now := b.Clock.Now()
	if !q.anyFreeSlot(now) {
		return
	}
	q.order(now)
	for i := 0; i < len(q.jobs); {
		j := q.jobs[i]
		if len(j.waiting) == 0 {
			i++
			continue
		}
		s, t := q.chooseTarget(j, now)
		if s == nil {
			i++
			continue
		}
		c := q.formCall(j, s, t, now)
		if c == nil {
			i++
			continue
		}
		b.startCall(q, s, t, c)
	}
}
