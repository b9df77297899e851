package stage

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Error is the class of this package's errors.
var Error = errs.Class("stage")

// ErrRejected means that a target didn't begin a call.
var ErrRejected = errs.New("the target rejected the call")

var errStopped = errs.New("the former is not running")

// Times and bounds of the former.
const (
	// sweepInterval is the time between two looks at what has expired.
	sweepInterval = 20 * time.Millisecond
	// freeDelay collects the results to free at a target for one call.
	freeDelay = 4 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// answerLife is how long an answer to another host is kept.
	answerLifetime = 500 * time.Millisecond
	// maxJobs bounds the jobs that wait or run at one former.
	maxJobs = 4096
)

// Former forms the calls to stage pools. Exported fields are set before Run.
type Batcher struct {
	// Self is the name of this host.
	Self    string
	Clock   *clock.Service
	Log     *zap.Logger
	Pool    Pool
	Catalog func() *catalog.Snapshot

	once     sync.Once
	commands chan func()
	stopped  chan struct{}

	// The rest belongs to the control goroutine.
	ctx    context.Context
	queues map[string]*queue
	jobs   map[string]*job
	// answered are jobs of other hosts that have results, which a host asks for
	// again when the answer was lost on the way.
	answered map[string]*job
	// coming is what hosts have told of their pieces on the way, by service and
	// host.
	upcoming map[string]map[string]upcomingPieces
	// retired formers take no jobs of other hosts.
	retired bool
}

func (f *Batcher) init() {
	f.once.Do(func() {
		f.commands = make(chan func())
		f.stopped = make(chan struct{})
	})
}

// Run forms calls until ctx ends.
func (f *Batcher) Run(ctx context.Context) error {
	f.init()
	defer close(f.stopped)
	f.ctx, f.queues, f.jobs, f.answered = ctx, map[string]*queue{}, map[string]*job{}, map[string]*job{}
	f.upcoming = map[string]map[string]upcomingPieces{}
	ticks := f.Clock.Subscribe(ctx, sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-f.commands:
			command()
		case <-ticks:
			f.sweep()
		}
	}
}

// do runs command in the control goroutine and waits for its end.
func (f *Batcher) do(command func()) error {
	f.init()
	done := make(chan struct{})
	select {
	case f.commands <- func() { command(); close(done) }:
		<-done
		return nil
	case <-f.stopped:
		return errStopped
	}
}

// job is a Job that waits or runs.
type job struct {
	Job
	// due and until are the times of Due and Left.
	due, deadline time.Time
	arrived       time.Time
	results       []Result
	// waiting are the numbers of the pieces that wait for a call, missing is the
	// number of pieces without a result.
	waiting  []int
	missing  int
	failures int
	sent     bool
	queued   time.Duration
	ran      time.Duration
	// finished is closed when the job ends with outcome, at endedAt.
	finished chan struct{}
	outcome  Outcome
	ended    bool
	endedAt  time.Time
	// remote jobs are another host's.
	remote bool
	// worth is Worth against jobs of all ranks; behind says that the job is left
	// behind others, since not all can be on time.
	worth    float64
	deferred bool
}

// Submit runs a job of this host and waits for its outcome. When ctx ends the
// job is cancelled.
func (f *Batcher) Submit(ctx context.Context, j Job) Outcome { return f.submit(ctx, j, false) }

// submitRemote runs a job of another host, which cancels it by its ID.
func (f *Batcher) submitRemote(j Job) Outcome { return f.submit(context.Background(), j, true) }

func (f *Batcher) submit(ctx context.Context, j Job, remote bool) Outcome {
	var running *job
	if f.do(func() { running = f.accept(j, remote) }) != nil {
		return Outcome{Fault: Failed}
	}
	select {
	case <-running.finished:
		return running.outcome
	case <-ctx.Done():
		f.Cancel(j.ID)
		<-running.finished
		return running.outcome
	case <-f.stopped:
		return Outcome{Fault: Failed, Sent: true}
	}
}

// accept queues j, unless it is here already.
func (f *Batcher) accept(j Job, remote bool) *job {
	if known := f.findJob(j.ID); known != nil && remote {
		f.Log.Info("stage asked for again", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), zap.Bool("Done", known.ended))
		return known
	}
	now := f.Clock.Now()
	running := &job{Job: j, remote: remote, due: now.Add(j.Due), deadline: now.Add(j.Left), arrived: now, missing: j.Pieces, finished: make(chan struct{})}
	running.results = make([]Result, j.Pieces)
	for i := range j.Pieces {
		running.waiting = append(running.waiting, i)
	}
	if f.retired && remote {
		f.endJob(running, Moved)
		return running
	}
	if len(f.jobs) >= maxJobs || f.jobs[j.ID] != nil {
		f.endJob(running, Failed)
		return running
	}
	f.jobs[j.ID] = running
	l := f.queue(j.Service)
	l.setWorth(running)
	l.jobs = append(l.jobs, running)
	f.dispatch(l)
	return running
}

// known returns the job of that ID if it waits, runs or was just answered.
func (f *Batcher) findJob(id string) *job {
	if j := f.jobs[id]; j != nil {
		return j
	}
	return f.answered[id]
}

// Cancel drops the job; what already runs of it is freed when it ends.
func (f *Batcher) Cancel(id string) {
	f.do(func() {
		if j := f.jobs[id]; j != nil {
			f.endJob(j, Cancelled)
		}
	})
}

// Retire gives back the jobs of other hosts that have not begun and takes no
// more; their senders take them to the next holder.
func (f *Batcher) Retire() {
	f.do(func() {
		f.retired = true
		for _, j := range f.jobs {
			if j.remote && !j.sent {
				f.endJob(j, Moved)
			}
		}
	})
}

// end answers for j and forgets it.
func (f *Batcher) endJob(j *job, fault Fault) {
	if j.ended {
		return
	}
	j.ended = true
	j.waiting = nil
	delete(f.jobs, j.ID)
	o := Outcome{Fault: fault, Sent: j.sent, Queued: j.queued, Ran: j.ran}
	if l := f.queues[j.Service]; l != nil {
		l.remove(j)
		o.Outlook = f.waitEstimate(l, f.Clock.Now())
	}
	if fault == None {
		o.Results = j.results
		if j.remote {
			f.answered[j.ID] = j
		}
		f.Log.Info("stage done", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), zap.String("Service", j.Service),
			zap.String("Target", j.results[0].Target), zap.Int("Pieces", j.Pieces), zap.Bool("Behind", j.deferred), zap.Float64("Worth", j.worth), zap.Duration("Queued", j.queued), zap.Duration("Ran", j.ran), zap.Duration("Slack", j.due.Sub(f.Clock.Now())),
			zap.Duration("Ahead", o.Outlook.Ahead), zap.Duration("All", o.Outlook.All))
	} else if fault != Moved {
		f.queueFree(completedResults(j.results))
		f.Log.Info("stage without result", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage),
			zap.Stringer("Fault", fault), zap.Int("Failures", j.failures), zap.Duration("Waited", f.Clock.Since(j.arrived)))
	}
	j.outcome, j.endedAt = o, f.Clock.Now()
	close(j.finished)
}

// made returns the results that exist.
func completedResults(results []Result) []Result {
	var out []Result
	for _, r := range results {
		if r.Handle != "" {
			out = append(out, r)
		}
	}
	return out
}

// sweep ends the jobs whose time has passed and forms calls that had to wait for
// time alone.
func (f *Batcher) sweep() {
	now := f.Clock.Now()
	for _, j := range f.jobs {
		if !j.deadline.After(now) {
			f.endJob(j, Late)
		}
	}
	for id, j := range f.answered {
		if now.Sub(j.endedAt) > answerLifetime {
			delete(f.answered, id)
		}
	}
	for _, l := range f.queues {
		l.expire(now)
		f.dispatch(l)
		l.measure(now, l.hasWaiting())
	}
}

// Register adds the former's RPC service.
func (f *Batcher) Register(s *rpc.Server) error {
	return s.RegisterName(rpcName, &Service{batcher: f})
}
