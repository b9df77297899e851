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
	// order holds the stages in an order in which each comes after those that it reads.
	order []int
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
	// reservations are those of an admitted request, by stage, until their jobs are sent.
	// promised is set once the request was admitted by reservations.
	reservations map[int]stage.Reservation
	promised     bool
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

// Error returns the message, which names the service.
func (e *lateError) Error() string { return "stage of service " + e.service + " would end too late" }

// errInputGone means that an input of a stage was lost.
var errInputGone = errors.New("stage input was lost")

func (h *Host) newPlan(q *request) *plan {
	n := len(q.route.Stages)
	order, err := catalog.StageOrder(q.route.Stages)
	if err != nil {
		panic("gateway: route " + q.route.Name + " is not invalid: " + err.Error())
	}
	p := &plan{order: order, h: h, q: q, stages: make([]*stageRun, n), readers: make([]int, n), pendingReaders: make([]int, n)}
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
		targets := h.activeTargets(q, q.service)
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

// recordOutcome records whether o shows that a stage may have run.
func (p *plan) recordOutcome(o stage.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.q.stagesMayHaveRun = p.q.stagesMayHaveRun || o.Sent
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
