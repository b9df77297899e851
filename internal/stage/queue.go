package stage

import (
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
)

// Bounds and weights for forming calls.
const (
	// maxPieceFailures is the number of failures per piece above which a job ends.
	maxPieceFailures = 2
	// largeMoveBytes is the input size from which a job waits for a target in its
	// own domain.
	largeMoveBytes = 256 << 10
	// rejectPause, memoryPause and failPause are how long a target gets no new
	// calls after a rejection, a lack of result memory and a failure. rejectPause
	// doubles up to maxRejectDoubling times.
	rejectPause       = 40 * time.Millisecond
	maxRejectDoubling = 4
	memoryPause       = 60 * time.Millisecond
	failPause         = 400 * time.Millisecond
	// maxFailPause bounds failPause, which doubles with each consecutive failure.
	maxFailPause = 3 * time.Second
	// A target whose pace is more than slowFactor times that of the fastest one
	// gets a call only once it has been unused for slowProbeInterval.
	slowFactor        = 2.5
	slowProbeInterval = 2 * time.Second
	// paceWeight is the weight of the newest call in a target's pace.
	paceWeight = 0.3
	// The timeout of a call is timeoutFactor times its expected time, which is
	// scaled up for a slow target, plus timeoutMargin.
	timeoutFactor = 3
	timeoutMargin = 300 * time.Millisecond
	// measureInterval is the time over which the time per piece of all targets is
	// measured, measureWeight the weight of the newest measurement, and
	// maxPieceFactor the bound of the result, relative to that of full calls.
	measureInterval = 500 * time.Millisecond
	measureWeight   = 0.3
	maxPieceFactor  = 4
)

// queue holds the jobs of one service and the state of its targets.
type queue struct {
	service      string
	pool         *catalog.Pool
	targets      []*catalog.Target
	jobs         []*job
	targetStates map[string]*targetState
	signals      *backpressure.Table
	quotas       *backpressure.Holder
	// callTimeAtOrder is the result of callTime when the jobs were last ordered.
	callTimeAtOrder time.Duration

	// measuredPerPiece is the time per piece of all targets together while jobs
	// wait. busySince is the start of the current measurement, busyPieces the
	// number of pieces done since.
	measuredPerPiece time.Duration
	busySince        time.Time
	busyPieces       int

	// promising reports whether reservations are promised, sharing whether jobs of
	// workspaces beyond their share are deferred first. reserved holds the reservations in
	// no particular order.
	promising, sharing bool
	reserved           []*reservation
	// epoch is the time from which the times of reservations count.
	epoch  time.Time
	recent recent
	// atOrder is the capacity when the jobs were last ordered, lastPieceTime the time of a
	// piece when endUnservable last compared it.
	atOrder       capacity
	lastPieceTime time.Duration
	// meanHeld is the mean time for which targets hold results; zero until one is freed.
	meanHeld time.Duration
	shares   shares
	// calendar and demandBuffer are reused by each decision.
	calendar     calendar
	demandBuffer []demand

	// meanWorth is the mean worth of jobs by rank.
	meanWorth map[int]float64
}

// hasWaiting reports whether any piece waits for a call.
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
		q = &queue{service: service, signals: b.Backpressure, quotas: b.Quotas, promising: b.Admission == ReservationAdmission, sharing: b.Admission.records(), epoch: b.Clock.Now(), targetStates: map[string]*targetState{}}
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

// refresh takes the pool and targets from snapshot s, but for targets that leave by
// their own word.
func (q *queue) refresh(s *catalog.Snapshot) {
	q.targets, q.pool = nil, nil
	if s.Table == nil {
		return
	}
	if svc := s.Table.Services[q.service]; svc != nil {
		q.pool = svc.Pool
	}
	q.targets = q.signals.Usable(s.ActiveTargets(q.service))
}

// expected returns the expected time of a call of the given number of pieces at a
// target with a pace of 1.
func (q *queue) expected(pieces int) time.Duration {
	return q.pool.CallTime + time.Duration(pieces)*q.pool.PieceTime
}

func (q *queue) timeout(s *targetState, expected time.Duration) time.Duration {
	return time.Duration(timeoutFactor*max(1, s.pace)*float64(expected)) + timeoutMargin
}

// resultLifetime returns how long a target keeps a result.
func (q *queue) resultLifetime() time.Duration {
	if q.pool == nil {
		return 0
	}
	return q.pool.ResultLife
}

// maxFailures is the number of failures of its pieces above which j ends.
func (j *job) maxFailures() int { return maxPieceFailures * max(1, j.Pieces) }

// onLastAttempt reports whether another failure of all its pieces ends j.
func (j *job) onLastAttempt() bool { return j.failures >= j.maxFailures() }

// removeJob removes j from the queue.
func (q *queue) removeJob(j *job) {
	for i, other := range q.jobs {
		if other == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return
		}
	}
}

// expire removes expired results and the state of targets that are long unused.
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

// idleTargetLifetime is how long the state of an unused target is kept.
const idleTargetLifetime = time.Minute

// callTime estimates the duration of a call formed now: one that takes a target's
// share of the waiting pieces, at the mean pace of the targets.
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

// tooLate reports whether j can no longer be on time if a call takes the given
// time.
func tooLate(j *job, call time.Duration, now time.Time) bool { return j.due.Before(now.Add(call)) }

// barred returns the waiting jobs that no target may take because of evacuations or
// their home regions. They are ended at once, since neither restriction is likely to end
// before their callers leave.
func (q *queue) barred(s *catalog.Snapshot) []*job {
	var out []*job
	for _, j := range q.jobs {
		if len(j.waiting) > 0 && s.Bars(q.service, j.Domains) {
			out = append(out, j)
		}
	}
	return out
}

// dispatch forms and starts calls at the targets that have a free slot.
func (b *Batcher) dispatch(q *queue) {
	if len(q.jobs) == 0 {
		return
	}
	s := b.Catalog()
	q.refresh(s)
	for _, j := range q.barred(s) {
		b.endJob(j, Failed)
	}
	if q.pool == nil || len(q.targets) == 0 {
		return
	}
	now := b.Clock.Now()
	if !q.mayCallAny(now) {
		return
	}
	q.order(now)
	for _, j := range q.hopeless(now) {
		b.endJob(j, Late)
	}
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
