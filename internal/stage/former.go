package stage

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
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
	// maxJobs bounds the jobs that wait or run at one former.
	maxJobs = 4096
)

// Former forms the calls to stage pools. Exported fields are set before Run.
type Former struct {
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
	ctx   context.Context
	lines map[string]*line
	jobs  map[string]*job
	// coming is what hosts have told of their pieces on the way, by service and
	// host.
	coming map[string]map[string]comingPieces
	// retired formers take no jobs of other hosts.
	retired bool
}

func (f *Former) init() {
	f.once.Do(func() {
		f.commands = make(chan func())
		f.stopped = make(chan struct{})
	})
}

// Run forms calls until ctx ends.
func (f *Former) Run(ctx context.Context) error {
	f.init()
	defer close(f.stopped)
	f.ctx, f.lines, f.jobs = ctx, map[string]*line{}, map[string]*job{}
	f.coming = map[string]map[string]comingPieces{}
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
func (f *Former) do(command func()) error {
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
	due, until time.Time
	arrived    time.Time
	results    []Result
	// waiting are the numbers of the pieces that wait for a call, missing is the
	// number of pieces without a result.
	waiting  []int
	missing  int
	failures int
	sent     bool
	queued   time.Duration
	ran      time.Duration
	done     chan Outcome
	ended    bool
	// remote jobs are another host's.
	remote bool
	// worth is Worth against jobs of all ranks; behind says that the job is left
	// behind others, since not all can be on time.
	worth  float64
	behind bool
}

// Submit runs a job of this host and waits for its outcome. When ctx ends the
// job is cancelled.
func (f *Former) Submit(ctx context.Context, j Job) Outcome { return f.submit(ctx, j, false) }

// submitRemote runs a job of another host, which cancels it by its ID.
func (f *Former) submitRemote(j Job) Outcome { return f.submit(context.Background(), j, true) }

func (f *Former) submit(ctx context.Context, j Job, remote bool) Outcome {
	var running *job
	if f.do(func() { running = f.accept(j, remote) }) != nil {
		return Outcome{Fault: Failed}
	}
	select {
	case o := <-running.done:
		return o
	case <-ctx.Done():
		f.Cancel(j.ID)
		return <-running.done
	case <-f.stopped:
		return Outcome{Fault: Failed, Sent: true}
	}
}

// accept queues j.
func (f *Former) accept(j Job, remote bool) *job {
	now := f.Clock.Now()
	running := &job{Job: j, remote: remote, due: now.Add(j.Due), until: now.Add(j.Left), arrived: now, missing: j.Pieces, done: make(chan Outcome, 1)}
	running.results = make([]Result, j.Pieces)
	for i := range j.Pieces {
		running.waiting = append(running.waiting, i)
	}
	if f.retired && remote {
		f.end(running, Moved)
		return running
	}
	if len(f.jobs) >= maxJobs || f.jobs[j.ID] != nil {
		f.end(running, Failed)
		return running
	}
	f.jobs[j.ID] = running
	l := f.line(j.Service)
	l.valued(running)
	l.jobs = append(l.jobs, running)
	f.dispatch(l)
	return running
}

// Cancel drops the job; what already runs of it is freed when it ends.
func (f *Former) Cancel(id string) {
	f.do(func() {
		if j := f.jobs[id]; j != nil {
			f.end(j, Cancelled)
		}
	})
}

// Retire gives back the jobs of other hosts that have not begun and takes no
// more; their senders take them to the next holder.
func (f *Former) Retire() {
	f.do(func() {
		f.retired = true
		for _, j := range f.jobs {
			if j.remote && !j.sent {
				f.end(j, Moved)
			}
		}
	})
}

// end answers for j and forgets it.
func (f *Former) end(j *job, fault Fault) {
	if j.ended {
		return
	}
	j.ended = true
	j.waiting = nil
	delete(f.jobs, j.ID)
	o := Outcome{Fault: fault, Sent: j.sent, Queued: j.queued, Ran: j.ran}
	if l := f.lines[j.Service]; l != nil {
		l.drop(j)
		o.Outlook = f.outlook(l, f.Clock.Now())
	}
	if fault == None {
		o.Results = j.results
		f.Log.Info("stage done", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), zap.String("Service", j.Service),
			zap.String("Target", j.results[0].Target), zap.Int("Pieces", j.Pieces), zap.Bool("Behind", j.behind), zap.Float64("Worth", j.worth), zap.Duration("Queued", j.queued), zap.Duration("Ran", j.ran), zap.Duration("Slack", j.due.Sub(f.Clock.Now())),
			zap.Duration("Ahead", o.Outlook.Ahead), zap.Duration("All", o.Outlook.All))
	} else if fault != Moved {
		f.release(made(j.results))
		f.Log.Info("stage without result", zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage),
			zap.Stringer("Fault", fault), zap.Int("Failures", j.failures), zap.Duration("Waited", f.Clock.Since(j.arrived)))
	}
	j.done <- o
}

// made returns the results that exist.
func made(results []Result) []Result {
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
func (f *Former) sweep() {
	now := f.Clock.Now()
	for _, j := range f.jobs {
		if !j.until.After(now) {
			f.end(j, Late)
		}
	}
	for _, l := range f.lines {
		l.expire(now)
		f.dispatch(l)
		l.measure(now, l.waiting())
	}
}

// Free drops results that nobody will read any more.
func (f *Former) Free(results []Result) {
	f.do(func() { f.release(results) })
}

// release notes results to be freed with the next call to their makers.
func (f *Former) release(results []Result) {
	for _, r := range results {
		l := f.line(r.Service)
		w := l.worker(r.Target)
		if len(w.free) == 0 {
			f.Clock.AfterFunc(freeDelay, func() { f.do(func() { f.flush(l, w) }) })
		}
		w.free = append(w.free, r)
	}
}

// flush frees what was released at a target. Its room counts as taken until the
// target has answered.
func (f *Former) flush(l *line, w *worker) {
	results := w.free
	w.free = nil
	if len(results) == 0 || f.ctx.Err() != nil {
		return
	}
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, freeTimeout)
		defer cancel()
		err := f.Pool.Free(ctx, results[0].Addr, handles)
		if err != nil {
			// Results that are not freed lapse by themselves.
			f.Log.Info("results not freed", zap.String("Target", results[0].Target), zap.Int("Results", len(handles)), journal.Error(err))
			return
		}
		f.do(func() {
			now := f.Clock.Now()
			for _, r := range results {
				w.freed(r, now)
			}
			f.dispatch(l)
		})
	}()
}

// start sends one call and takes its results.
func (f *Former) start(l *line, w *worker, t *catalog.Target, c *call) {
	now := f.Clock.Now()
	c.begun, c.expected = now, l.expected(len(c.parts))
	c.room = l.pool.RoomBytes - w.reserved - w.held
	w.calls++
	w.lastUsed = now
	for _, p := range c.parts {
		w.reserved += p.job.PieceBytes
		p.job.sent = true
		p.job.queued = now.Sub(p.job.arrived)
	}
	timeout := l.timeout(w, c.expected)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		results, err := f.Pool.Call(ctx, t, c.pieces(now))
		f.do(func() { f.finish(l, w, t, c, results, err) })
	}()
}

// finish takes the results of a call.
func (f *Former) finish(l *line, w *worker, t *catalog.Target, c *call, results []PieceResult, err error) {
	now := f.Clock.Now()
	took := now.Sub(c.begun)
	w.calls--
	for _, p := range c.parts {
		w.reserved -= p.job.PieceBytes
		p.job.ran = took
	}
	if err == nil && len(results) != len(c.parts) {
		err = Error.New("%d results for %d pieces", len(results), len(c.parts))
	}
	if err != nil {
		f.callFailed(l, w, t, c, err, now)
	} else {
		w.succeeded(took, c.expected)
		for i, p := range c.parts {
			f.take(l, w, t, c, p, results[i], now)
		}
	}
	f.dispatch(l)
}

// callFailed puts the pieces of a failed call back.
func (f *Former) callFailed(l *line, w *worker, t *catalog.Target, c *call, err error, now time.Time) {
	rejected := errors.Is(err, ErrRejected)
	if rejected {
		w.rejected(now)
	} else {
		w.failed(now)
	}
	f.Log.Info("stage call failed", zap.String("Target", t.ID), zap.Int("Pieces", len(c.parts)), zap.Bool("Rejected", rejected),
		zap.Duration("Took", now.Sub(c.begun)), zap.String("FirstRequestID", c.parts[0].job.RequestID), journal.Error(err))
	for _, p := range c.parts {
		f.again(p, !rejected)
	}
}

// again queues a piece once more, or ends its job after too many failures.
func (f *Former) again(p part, counts bool) {
	j := p.job
	if j.ended {
		return
	}
	if counts {
		j.failures++
	}
	if j.failures > maxFailures*max(1, j.Pieces) {
		f.end(j, Failed)
		return
	}
	j.waiting = append(j.waiting, p.number)
}

// take takes the result of one piece.
func (f *Former) take(l *line, w *worker, t *catalog.Target, c *call, p part, r PieceResult, now time.Time) {
	j := p.job
	switch r.Fault {
	case PieceDone:
		c.room -= j.PieceBytes
		result := Result{Handle: r.Handle, Target: t.ID, Addr: t.Addr, Domain: t.Domain, Bytes: j.PieceBytes, Service: j.Service, Former: f.Self}
		if j.ended {
			f.release([]Result{result})
			return
		}
		l.busyMade++
		w.hold(r.Handle, j.PieceBytes, now.Add(l.life()))
		j.results[p.number] = result
		if j.missing--; j.missing == 0 {
			f.end(j, None)
		}
	case PieceLate:
		f.end(j, Late)
	case PieceGone:
		f.end(j, Gone)
	case PieceNoRoom:
		w.full(now, c, j.PieceBytes, l.pool.ResultLife)
		f.again(p, false)
	case PieceError:
		f.again(p, true)
	}
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

// Register adds the former's RPC service.
func (f *Former) Register(s *rpc.Server) error {
	return s.RegisterName(serviceName, &Service{former: f})
}
