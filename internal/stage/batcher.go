package stage

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Error is the class of this package's errors.
var Error = errs.Class("stage")

// ErrRejected means that a target refused a call before starting it.
var ErrRejected = errs.New("target rejected the call")

var errStopped = errs.New("batcher is not running")

// errRetired answers a reservation at a batcher that is shutting down.
var errRetired = errs.New("batcher is shutting down")

// Times and bounds of the batcher.
const (
	// sweepInterval is the time between two sweeps for expired jobs and results.
	sweepInterval = 20 * time.Millisecond
	// freeDelay is the time over which results to free at a target are collected
	// for one call.
	freeDelay = 4 * time.Millisecond
	// maxDeferred bounds the results that wait for a turn to be freed at one target.
	maxDeferred = 4096
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// answerLifetime is how long an answer to another host is kept. It exceeds the time
	// after which the host asks again over a new connection.
	answerLifetime = 2 * time.Second
	// maxJobs bounds the jobs that wait or run at one batcher, maxPieces the pieces
	// of one job.
	maxJobs   = 4096
	maxPieces = 1 << 16
)

// Batcher forms calls to stage pools from the pieces of many jobs. Exported
// fields are set before Run.
type Batcher struct {
	// Self is the name of this host.
	Self    string
	Clock   *clock.Service
	Log     *zap.Logger
	Pool    Pool
	Catalog func() *catalog.Snapshot
	// Backpressure takes what targets say of themselves. Quotas holds the turns at
	// targets that have named a limit.
	Backpressure *backpressure.Table
	Quotas       *backpressure.Holder
	// Stopped, unless nil, counts the calls that the check before the first byte
	// stopped.
	Stopped metrics.Counter
	// Admission is how this host admits requests; the batcher answers other hosts in the way
	// that they ask. With ReservationAdmission it orders jobs by the capacity of full calls,
	// and puts first those that must start now for all promises to be kept. Otherwise jobs
	// are ordered as if nothing was reserved. With ForecastAdmission too, jobs of workspaces
	// beyond their share are deferred first.
	Admission Admission
	// Metrics, unless nil, counts what becomes of reservations.
	Metrics metrics.Registry

	once     sync.Once
	commands chan func()
	stopped  chan struct{}

	// The remaining fields are owned by the control goroutine.
	ctx    context.Context
	queues map[string]*queue
	jobs   map[string]*job
	// answered holds jobs of other hosts that ended with results. A host asks for
	// the results again if the answer was lost in transit.
	answered map[string]*job
	// upcoming holds the upcoming pieces that hosts have reported, by service and
	// host.
	upcoming map[string]map[string]upcomingPieces
	// reservations holds the granted and recorded reservations by ID, heard the time of the last
	// message of each host that reserves.
	reservations map[string]*reservation
	heard        map[string]time.Time
	// lastSweep is the time of the last sweep.
	lastSweep time.Time
	// retired batchers accept no jobs of other hosts.
	retired bool
}

func (b *Batcher) init() {
	b.once.Do(func() {
		b.commands = make(chan func())
		b.stopped = make(chan struct{})
	})
}

// Run forms calls until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	b.init()
	defer close(b.stopped)
	b.ctx, b.queues, b.jobs, b.answered = ctx, map[string]*queue{}, map[string]*job{}, map[string]*job{}
	b.upcoming = map[string]map[string]upcomingPieces{}
	b.reservations, b.heard = map[string]*reservation{}, map[string]time.Time{}
	b.lastSweep = b.Clock.Now()
	ticks := b.Clock.Subscribe(ctx, sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-b.commands:
			command()
		case <-ticks:
			b.sweep()
		}
	}
}

// do runs command in the control goroutine and waits until it returns.
func (b *Batcher) do(command func()) error {
	b.init()
	done := make(chan struct{})
	select {
	case b.commands <- func() { command(); close(done) }:
		<-done
		return nil
	case <-b.stopped:
		return errStopped
	}
}

// job is a Job that waits or runs.
type job struct {
	Job
	// due and deadline are the times at which Due and Left end.
	due, deadline time.Time
	arrived       time.Time
	results       []Result
	// waiting holds the numbers of the pieces that wait for a call; missing is the
	// number of pieces without a result.
	waiting  []int
	missing  int
	failures int
	// sent is the number of pieces sent to targets, which may have started them.
	sent   int
	queued time.Duration
	ran    time.Duration
	// finished is closed when the job ends, at endedAt and with outcome.
	finished chan struct{}
	outcome  Outcome
	ended    bool
	endedAt  time.Time
	// remote reports whether the job belongs to another host.
	remote bool
	// worth is Worth scaled to be comparable across ranks. Deferred jobs are
	// ordered after all others, since not all jobs can be on time.
	worth    float64
	deferred bool
	// promise is the time at which Promise ends, or deadline for a job without one.
	// Critical jobs must start now for all promises to be kept.
	promise  time.Time
	critical bool
	// over reports whether the workspace of the job has more than its share of a pool
	// that is short.
	over bool
	// unitCost is the cost of a piece when the jobs were last ordered, or 1 if pieces count
	// alike.
	unitCost float64
}

// Submit runs a job of this host and waits for its outcome. The job is cancelled
// when ctx ends.
func (b *Batcher) Submit(ctx context.Context, j Job) Outcome { return b.submit(ctx, j, false) }

// submitRemote runs a job of another host, which may cancel it by its ID.
func (b *Batcher) submitRemote(j Job) Outcome { return b.submit(context.Background(), j, true) }

func (b *Batcher) submit(ctx context.Context, j Job, remote bool) Outcome {
	var running *job
	if b.do(func() { running = b.accept(j, remote) }) != nil {
		return Outcome{Fault: Failed}
	}
	select {
	case <-running.finished:
		return running.outcome
	case <-ctx.Done():
		b.Cancel(j.ID)
		select {
		case <-running.finished:
			return running.outcome
		case <-b.stopped:
			return Outcome{Fault: Cancelled, Sent: true}
		}
	case <-b.stopped:
		return Outcome{Fault: Failed, Sent: true}
	}
}

// accept queues j and returns it. A remote job that is already known is not
// queued again.
func (b *Batcher) accept(j Job, remote bool) *job {
	if known := b.findJob(j.ID); known != nil && remote {
		b.Log.Info("stage asked for again", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), zap.Bool("Done", known.ended))
		return known
	}
	now := b.Clock.Now()
	if j.Pieces < 1 || j.Pieces > maxPieces || j.PieceBytes < 0 {
		refused := &job{Job: j, arrived: now, finished: make(chan struct{})}
		b.endJob(refused, Failed)
		return refused
	}
	running := &job{Job: j, remote: remote, due: now.Add(j.Due), deadline: now.Add(j.Left), arrived: now, missing: j.Pieces, finished: make(chan struct{})}
	running.results = make([]Result, j.Pieces)
	for i := range j.Pieces {
		running.waiting = append(running.waiting, i)
	}
	if b.retired && remote {
		b.endJob(running, Moved)
		return running
	}
	if len(b.jobs) >= maxJobs || b.jobs[j.ID] != nil {
		b.endJob(running, Failed)
		return running
	}
	b.jobs[j.ID] = running
	b.takeUp(running, now)
	q := b.queue(j.Service)
	q.setWorth(running)
	q.jobs = append(q.jobs, running)
	b.dispatch(q)
	return running
}

// findJob returns the job with the given ID if it waits, runs or was answered
// recently, and otherwise nil.
func (b *Batcher) findJob(id string) *job {
	if j := b.jobs[id]; j != nil {
		return j
	}
	return b.answered[id]
}

// Cancel ends the job. Results of its pieces that are already running are freed
// when they arrive.
func (b *Batcher) Cancel(id string) {
	b.do(func() {
		if j := b.jobs[id]; j != nil {
			b.endJob(j, Cancelled)
		}
	})
}

// Retire hands back the jobs of other hosts that have not started and accepts no
// more; their senders send them to the next holder.
func (b *Batcher) Retire() {
	b.do(func() {
		b.retired = true
		for _, j := range b.jobs {
			if j.remote && j.sent == 0 {
				b.endJob(j, Moved)
			}
		}
	})
}

// endJob ends j with fault, delivers its outcome and removes it.
func (b *Batcher) endJob(j *job, fault Fault) {
	if j.ended {
		return
	}
	j.ended = true
	j.waiting = nil
	if b.jobs[j.ID] == j {
		delete(b.jobs, j.ID)
	}
	o := Outcome{Fault: fault, Sent: j.sent > 0, Queued: j.queued, Ran: j.ran}
	if q := b.queues[j.Service]; q != nil {
		q.removeJob(j)
		o.Outlook = b.waitEstimate(q, b.Clock.Now())
	}
	if fault == None {
		o.Results = j.results
		if j.remote {
			b.answered[j.ID] = j
		}
		b.Log.Info("stage done", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), zap.String("Service", j.Service),
			zap.String("Target", j.results[0].Target), zap.Int("Pieces", j.Pieces), zap.Bool("Behind", j.deferred), zap.Float64("Worth", j.worth), zap.Duration("Queued", j.queued), zap.Duration("Ran", j.ran), zap.Duration("Slack", j.due.Sub(b.Clock.Now())),
			zap.Duration("Ahead", o.Outlook.Ahead), zap.Duration("All", o.Outlook.All))
	} else if fault != Moved {
		b.queueFree(completedResults(j.results))
		b.Log.Info("stage without result", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage),
			zap.Stringer("Fault", fault), zap.Int("Failures", j.failures), zap.Duration("Waited", b.Clock.Since(j.arrived)))
	}
	j.outcome, j.endedAt = o, b.Clock.Now()
	close(j.finished)
}

// completedResults returns the results that have been produced.
func completedResults(results []Result) []Result {
	var out []Result
	for _, r := range results {
		if r.Handle != "" {
			out = append(out, r)
		}
	}
	return out
}

// sweep ends jobs past their deadline, and forms calls that become possible with
// time alone, such as after a pause.
func (b *Batcher) sweep() {
	now := b.Clock.Now()
	for _, j := range b.jobs {
		if !j.deadline.After(now) {
			b.endJob(j, Late)
		}
	}
	b.expireReservations(now)
	for id, j := range b.answered {
		if now.Sub(j.endedAt) > answerLifetime {
			delete(b.answered, id)
		}
	}
	for _, q := range b.queues {
		q.expire(now)
		b.endUnservable(q, now)
		b.dispatch(q)
		q.measurePerPiece(now, q.hasWaiting())
	}
}

// Register adds the batcher's RPC service to s.
func (b *Batcher) Register(s *rpc.Server) error {
	return s.RegisterName(rpcName, &Service{batcher: b})
}
