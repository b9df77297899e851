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

// engineTime is the time that a request is expected to take at a model engine
// until its first event.
const engineTime = 250 * time.Millisecond

// plan runs the stages of one request. Results that nobody will read any more
// are freed at once, since room for them is scarce.
type plan struct {
	h *Host
	q *request
	// sinks are the stages that no other follows.
	sinks []int
	// domain is where the request itself will probably run.
	domain string

	mu     sync.Mutex
	stages []*stageRun
	// unread counts the stages that have yet to read a stage's results.
	unread []int
	// readers is the number of stages that read a stage's results.
	readers []int
	// coming are the stages that others have to run before.
	coming []bool
	// paced says that a stage was held back once.
	paced bool
}

// stageRun is a stage that runs or has run.
type stageRun struct {
	// begun is closed when the stage has its inputs.
	begun   chan struct{}
	done    chan struct{}
	results []stage.Result
	err     error
}

// errInputGone is the error of a stage whose input was lost.
var errInputGone = errors.New("an input is gone")

func (h *Host) newPlan(q *request) *plan {
	n := len(q.route.Stages)
	p := &plan{h: h, q: q, stages: make([]*stageRun, n), readers: make([]int, n), unread: make([]int, n)}
	for _, s := range q.route.Stages {
		for _, before := range s.After {
			p.readers[before]++
			p.unread[before]++
		}
	}
	for i := range q.route.Stages {
		if p.readers[i] == 0 {
			p.sinks = append(p.sinks, i)
		}
	}
	if n > 0 {
		targets := h.Follower.Snapshot().ActiveTargets(q.service)
		if t := h.Fleet.Choose(targets, fleet.Want{Home: q.home()}); t != nil {
			p.domain = t.Domain
		}
	}
	return p
}

// run runs all stages and returns the handles that the request needs, and the
// failure domain that holds large ones.
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
		large := p.q.route.Stages[p.sinks[i]].ResultBytes >= largeInput
		for _, r := range results {
			handles = append(handles, r.Handle)
			if large {
				domain = r.Domain
			}
		}
	}
	return handles, domain, nil
}

// largeInput is the size in bytes from which an input draws the request to its
// own failure domain.
const largeInput = 256 << 10

// failure returns the result for a request whose stages failed.
func (p *plan) failure(ctx context.Context, err error) error {
	var e *result.Error
	switch {
	case errors.As(err, &e):
		return e
	case ctx.Err() != nil && p.q.stages:
		return result.Failed(result.DeadlineExceeded, "the stages took too long")
	case ctx.Err() != nil:
		return later(result.Overloaded, fullRetry, "no stage began in time")
	case p.q.stages:
		return result.Failed(result.StageFailed, "%v", err)
	default:
		return later(result.Overloaded, fullRetry, "%v", err)
	}
}

// get returns the results of stage i, which it runs unless they are there.
func (p *plan) get(ctx context.Context, i int) ([]stage.Result, error) {
	run := p.start(ctx, i)
	<-run.done
	return run.results, run.err
}

// start runs stage i unless it runs or has run.
func (p *plan) start(ctx context.Context, i int) *stageRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.stages[i]
	if run == nil {
		run = &stageRun{begun: make(chan struct{}), done: make(chan struct{})}
		p.stages[i] = run
		go func() {
			run.results, run.err = p.make(ctx, i, run)
			close(run.done)
		}()
	}
	return run
}

// make runs stage i after the stages that it reads. Lost inputs are made again.
func (p *plan) make(ctx context.Context, i int, run *stageRun) ([]stage.Result, error) {
	begin := sync.OnceFunc(func() { close(run.begun) })
	defer begin()
	s := &p.q.route.Stages[i]
	if p.pieces(i) == 0 {
		return nil, nil
	}
	p.await(ctx, i)
	for redo := 0; ; redo++ {
		inputs, err := p.inputs(ctx, s)
		if err != nil {
			return nil, err
		}
		begin()
		p.arrive(i)
		o, err := p.h.Stages.Run(ctx, p.job(i, inputs))
		p.note(o)
		if err != nil {
			return nil, err
		}
		switch {
		case o.Fault == stage.None:
			p.read(s)
			return o.Results, nil
		case o.Fault == stage.Gone && redo < maxRedo:
			p.drop(s.After)
		case o.Fault == stage.Gone:
			return nil, errInputGone
		case o.Fault == stage.Late:
			return nil, context.DeadlineExceeded
		default:
			return nil, errors.New("stage " + o.Fault.String())
		}
	}
}

// await holds stage i back while another branch of the request takes longer:
// its results would only take up room until that branch is done. It waits for
// the beginning of the last stage there from which on the branch takes no less
// time than stage i.
func (p *plan) await(ctx context.Context, i int) {
	if len(p.q.route.Stages[i].After) > 0 || p.readers[i] > 0 {
		return
	}
	p.mu.Lock()
	first := !p.paced
	p.paced = true
	p.mu.Unlock()
	if k := p.pacer(i); first && k >= 0 {
		select {
		case <-p.start(ctx, k).begun:
		case <-ctx.Done():
		}
	}
}

// pacer returns the stage whose beginning stage i waits for, or -1.
func (p *plan) pacer(i int) int {
	own := p.took(i)
	for _, k := range p.sinks {
		rest := time.Duration(0)
		for k != i && p.pieces(k) > 0 {
			if rest += p.took(k); rest >= own {
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

// took is the usual time of stage i.
func (p *plan) took(i int) time.Duration {
	service := p.q.route.Stages[i].Service
	return max(stageTime(p.h.Follower.Snapshot().Table, service, p.pieces(i)), p.h.Stages.Usual(service))
}

// note keeps what an outcome says of the request.
func (p *plan) note(o stage.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.q.stages = p.q.stages || o.Sent
}

// pieces is the number of pieces of stage i.
func (p *plan) pieces(i int) int {
	if i < len(p.q.Pieces) {
		return p.q.Pieces[i]
	}
	return 0
}

// inputs returns the results that s reads.
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

// place returns the failure domain in which stage i moves the fewest bytes, and
// how many it would move elsewhere. Each piece reads all inputs; the results of
// a last stage are read once, where the request will run.
func (p *plan) place(i int, inputs []stage.Result) (string, int64) {
	pieces := int64(p.pieces(i))
	bytes := map[string]int64{}
	for _, r := range inputs {
		bytes[r.Domain] += pieces * r.Bytes
	}
	if p.readers[i] == 0 && p.domain != "" {
		bytes[p.domain] += pieces * p.q.route.Stages[i].ResultBytes
	}
	domain, most := "", int64(0)
	for d, n := range bytes {
		if n > most || n == most && d < domain {
			domain, most = d, n
		}
	}
	return domain, most
}

// job describes stage i.
func (p *plan) job(i int, inputs []stage.Result) stage.Job {
	s := &p.q.route.Stages[i]
	now := p.h.Clock.Now()
	j := stage.Job{
		RequestID:  p.q.ID,
		Service:    s.Service,
		Stage:      i,
		Pieces:     p.pieces(i),
		Due:        p.q.due().Sub(now) - p.after(i),
		Left:       p.q.until.Sub(now),
		Rank:       p.q.rank,
		Worth:      p.q.worth(),
		PieceBytes: s.ResultBytes,
	}
	for _, r := range inputs {
		j.Inputs = append(j.Inputs, r.Handle)
	}
	j.Domain, j.MoveBytes = p.place(i, inputs)
	if len(s.After) == 0 {
		j.Key = p.q.PieceKey
	}
	return j
}

// read notes that s has read its inputs, and frees those that nobody else reads.
func (p *plan) read(s *catalog.Stage) {
	p.mu.Lock()
	var done []int
	for _, before := range s.After {
		if p.unread[before]--; p.unread[before] == 0 {
			done = append(done, before)
		}
	}
	p.mu.Unlock()
	p.drop(done)
}

// drop frees the results of stages and forgets that they ran.
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

// lost forgets the results that the request itself reads, since one is gone.
func (p *plan) lost() { p.drop(p.sinks) }

// release frees all results.
func (p *plan) release() {
	all := make([]int, len(p.stages))
	for i := range all {
		all[i] = i
		p.arrive(i)
	}
	p.drop(all)
}
