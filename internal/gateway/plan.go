package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/pkg/result"
	"golang.org/x/sync/errgroup"
)

// engineTime is the expected time from the arrival of a request at a model engine
// to its first event.
const engineTime = 250 * time.Millisecond

// plan runs the stages of one request, each after the stages whose results it
// reads. Results without remaining readers are freed at once, since result memory
// is scarce.
type plan struct {
	h *Host
	q *request
	// sinks are the stages whose results no other stage reads.
	sinks []int
	// targetDomain is the failure domain where the request itself will probably run.
	targetDomain string

	mu     sync.Mutex
	stages []*stageRun
	// pendingReaders counts, for each stage, the stages that have yet to read its
	// results.
	pendingReaders []int
	// readers is the number of stages that read the results of each stage.
	readers []int
	// announced marks the stages that were announced to their batchers and have not
	// arrived there yet.
	announced []bool
	// heldBack is set once a stage was held back; a second one would wait for the
	// first.
	heldBack bool
}

// stageRun is a running or completed stage.
type stageRun struct {
	// inputsReady is closed when the stage has its inputs, or has ended without them.
	inputsReady chan struct{}
	done        chan struct{}
	results     []stage.Result
	err         error
}

// lateError means that a stage can't end while its request is of use.
type lateError struct {
	service string
	// wait is the wait of a job that arrives now.
	wait time.Duration
}

func (e *lateError) Error() string { return "stage of service " + e.service + " would end too late" }

// errInputGone means that an input of a stage was lost.
var errInputGone = errors.New("stage input was lost")

func (h *Host) newPlan(q *request) *plan {
	n := len(q.route.Stages)
	p := &plan{h: h, q: q, stages: make([]*stageRun, n), readers: make([]int, n), pendingReaders: make([]int, n)}
	for _, s := range q.route.Stages {
		for _, before := range s.After {
			p.readers[before]++
			p.pendingReaders[before]++
		}
	}
	for i := range q.route.Stages {
		if p.readers[i] == 0 {
			p.sinks = append(p.sinks, i)
		}
	}
	if n > 0 {
		targets := h.Follower.Snapshot().ActiveTargets(q.service)
		if t := h.Balancer.Choose(targets, fleet.Request{AffinityKey: q.affinityKey()}); t != nil {
			p.targetDomain = t.Domain
		}
	}
	return p
}

// run runs all stages. It returns the handles of the results that the request
// reads, and the failure domain that holds the large ones.
func (p *plan) run(ctx context.Context) (handles []string, domain string, err error) {
	outcomes := make([][]stage.Result, len(p.sinks))
	g, stageCtx := errgroup.WithContext(ctx)
	for i, sink := range p.sinks {
		g.Go(func() error {
			var err error
			outcomes[i], err = p.get(stageCtx, sink)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, "", p.failure(ctx, err)
	}
	for i, results := range outcomes {
		large := p.q.route.Stages[p.sinks[i]].ResultBytes >= largeInputBytes
		for _, r := range results {
			handles = append(handles, r.Handle)
			if large {
				domain = r.Domain
			}
		}
	}
	return handles, domain, nil
}

// largeInputBytes is the size from which an input makes the request prefer targets
// in the input's failure domain.
const largeInputBytes = 256 << 10

// failure returns the error for a request whose stages failed.
func (p *plan) failure(ctx context.Context, err error) error {
	var e *result.Error
	var late *lateError
	switch {
	case errors.As(err, &e):
		return e
	case ctx.Err() != nil && p.q.stagesMayHaveRun:
		return result.Failed(result.DeadlineExceeded, "deadline exceeded while the stages ran")
	case ctx.Err() != nil:
		return retryLater(result.Overloaded, overloadedRetry, "deadline exceeded before any stage started")
	case p.q.stagesMayHaveRun:
		return result.Failed(result.StageFailed, "%v", err)
	case errors.As(err, &late):
		return retryLater(result.Overloaded, p.retryAfter(late.wait), "%v", err)
	default:
		return retryLater(result.Overloaded, overloadedRetry, "%v", err)
	}
}

// get returns the results of stage i and runs the stage first if necessary.
func (p *plan) get(ctx context.Context, i int) ([]stage.Result, error) {
	run := p.start(ctx, i)
	<-run.done
	return run.results, run.err
}

// start starts stage i unless it is running or has run.
func (p *plan) start(ctx context.Context, i int) *stageRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.stages[i]
	if run == nil {
		run = &stageRun{inputsReady: make(chan struct{}), done: make(chan struct{})}
		p.stages[i] = run
		go func() {
			run.results, run.err = p.runStage(ctx, i, run)
			close(run.done)
		}()
	}
	return run
}

// runStage runs stage i after the stages whose results it reads. Stages whose
// results were lost run again.
func (p *plan) runStage(ctx context.Context, i int, run *stageRun) ([]stage.Result, error) {
	markReady := sync.OnceFunc(func() { close(run.inputsReady) })
	defer markReady()
	s := &p.q.route.Stages[i]
	if p.pieceCount(i) == 0 {
		return nil, nil
	}
	p.holdBack(ctx, i)
	for redo := 0; ; redo++ {
		inputs, err := p.inputs(ctx, s)
		if err != nil {
			return nil, err
		}
		markReady()
		p.withdrawAnnouncement(i)
		o, err := p.h.Stages.Run(ctx, p.job(i, inputs))
		p.recordOutcome(o)
		if err != nil {
			return nil, err
		}
		switch {
		case o.Fault == stage.None:
			p.markInputsRead(s)
			return o.Results, nil
		case o.Fault == stage.Gone && redo < maxStageReruns:
			p.drop(s.After)
		case o.Fault == stage.Gone:
			return nil, errInputGone
		case o.Fault == stage.Late:
			return nil, &lateError{service: s.Service, wait: o.Outlook.All}
		default:
			return nil, errors.New("stage " + o.Fault.String())
		}
	}
}

// holdBack delays stage i while another branch of the request takes longer, since
// its results would only occupy memory until that branch is done. It waits for the
// start of the last stage of that branch from which the rest of the branch takes
// at least as long as stage i.
func (p *plan) holdBack(ctx context.Context, i int) {
	if len(p.q.route.Stages[i].After) > 0 || p.readers[i] > 0 {
		return
	}
	k := p.stageToAwait(i)
	if k < 0 || !p.mayHoldBack() {
		return
	}
	select {
	case <-p.start(ctx, k).inputsReady:
	case <-ctx.Done():
	}
}

// mayHoldBack reports whether no stage was held back before.
func (p *plan) mayHoldBack() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.heldBack
	p.heldBack = true
	return first
}

// stageToAwait returns the stage whose start stage i waits for, or -1.
func (p *plan) stageToAwait(i int) int {
	own := p.expectedTime(i)
	for _, k := range p.sinks {
		rest := time.Duration(0)
		for k != i && p.pieceCount(k) > 0 {
			if rest += p.expectedTime(k); rest >= own {
				return k
			}
			after := p.q.route.Stages[k].After
			if len(after) == 0 {
				break
			}
			k = after[0]
		}
	}
	return -1
}

// expectedTime returns the expected time of stage i with the wait before it.
func (p *plan) expectedTime(i int) time.Duration {
	return p.callTime(i) + p.h.Stages.WaitEstimate(p.q.route.Stages[i].Service).Ahead
}

// recordOutcome records whether o shows that a stage may have run.
func (p *plan) recordOutcome(o stage.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.q.stagesMayHaveRun = p.q.stagesMayHaveRun || o.Sent
}

// pieceCount returns the number of pieces of stage i.
func (p *plan) pieceCount(i int) int {
	if i < len(p.q.Pieces) {
		return p.q.Pieces[i]
	}
	return 0
}

// inputs returns the results that s reads, after running their stages if
// necessary.
func (p *plan) inputs(ctx context.Context, s *catalog.Stage) ([]stage.Result, error) {
	var inputs []stage.Result
	for _, before := range s.After {
		results, err := p.get(ctx, before)
		if err != nil {
			return nil, err
		}
		inputs = append(inputs, results...)
	}
	return inputs, nil
}

// preferredDomain returns the failure domain in which stage i transfers the fewest
// bytes, and the number of bytes that are saved there. Each piece reads all
// inputs; the results of a sink are read once, where the request will run.
func (p *plan) preferredDomain(i int, inputs []stage.Result) (string, int64) {
	pieces := int64(p.pieceCount(i))
	bytes := map[string]int64{}
	for _, r := range inputs {
		bytes[r.Domain] += pieces * r.Bytes
	}
	if p.readers[i] == 0 && p.targetDomain != "" {
		bytes[p.targetDomain] += pieces * p.q.route.Stages[i].ResultBytes
	}
	domain, most := "", int64(0)
	for d, n := range bytes {
		if n > most || n == most && d < domain {
			domain, most = d, n
		}
	}
	return domain, most
}

// job returns the job that runs stage i.
func (p *plan) job(i int, inputs []stage.Result) stage.Job {
	s := &p.q.route.Stages[i]
	now := p.h.Clock.Now()
	j := stage.Job{
		RequestID:  p.q.ID,
		Service:    s.Service,
		Stage:      i,
		Pieces:     p.pieceCount(i),
		Due:        p.q.softDeadline().Sub(now) - p.remainingTime(i),
		Left:       p.q.usefulUntil().Sub(now) - p.leastRemainingTime(i),
		Rank:       p.q.priority,
		Worth:      p.q.worth(),
		PieceBytes: s.ResultBytes,
	}
	for _, r := range inputs {
		j.Inputs = append(j.Inputs, r.Handle)
	}
	j.Domain, j.MoveBytes = p.preferredDomain(i, inputs)
	if len(s.After) == 0 {
		j.Key = p.q.PieceKey
	}
	return j
}

// markInputsRead records that s has read its inputs, and frees those that have no
// other readers.
func (p *plan) markInputsRead(s *catalog.Stage) {
	p.mu.Lock()
	var done []int
	for _, before := range s.After {
		if p.pendingReaders[before]--; p.pendingReaders[before] == 0 {
			done = append(done, before)
		}
	}
	p.mu.Unlock()
	p.drop(done)
}

// drop frees the results of the given stages and marks the stages as not run.
func (p *plan) drop(stages []int) {
	for _, i := range stages {
		p.mu.Lock()
		run := p.stages[i]
		p.stages[i] = nil
		p.mu.Unlock()
		if run == nil {
			continue
		}
		go func() {
			<-run.done
			p.h.Stages.Free(run.results)
		}()
	}
}

// dropInputs drops the results that the request itself reads, after one was lost.
func (p *plan) dropInputs() { p.drop(p.sinks) }

// release frees all results and withdraws all announcements.
func (p *plan) release() {
	all := make([]int, len(p.stages))
	for i := range all {
		all[i] = i
		p.withdrawAnnouncement(i)
	}
	p.drop(all)
}
