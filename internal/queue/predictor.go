package queue

import (
	"math"
	"math/bits"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// workKey names a kind of work. Narrower kinds have more fields set.
type workKey struct {
	Pool      string
	Stage     string
	Pipeline  string
	Workspace string
	// Size is the number of binary digits of the prompt's length in bytes.
	Size int
}

func workKeyOf(a *SlotRequest) workKey {
	return workKey{Pool: a.Pool, Stage: a.Stage, Pipeline: a.Pipeline, Workspace: a.Workspace, Size: bits.Len(uint(a.PromptBytes))}
}

// wider returns the kinds to use, in this order, while k itself has been seen
// too rarely: those of all workspaces, of all sizes, and of all stages.
func (k workKey) wider() [4]workKey {
	sized := workKey{Pool: k.Pool, Stage: k.Stage, Pipeline: k.Pipeline, Size: k.Size}
	stage := workKey{Pool: k.Pool, Stage: k.Stage, Pipeline: k.Pipeline}
	return [4]workKey{sized, stage, {Pool: k.Pool, Size: k.Size}, {Pool: k.Pool}}
}

// Parameters of the estimates.
const (
	maxWorkKinds    = 4096
	minSampleCount  = 3
	sampleWeight    = 0.05                   // of a new sample, once there are many
	ninthDecile     = 1.2816                 // of the standard normal distribution
	defaultWork     = 100 * time.Millisecond // before anything was seen
	defaultVariance = 1.0
	minPositive     = 1e-5 // seconds
	maxDoublings    = 6    // of a prompt's size over those that were seen
)

// estimate is a log-normal distribution of seconds.
type estimate struct {
	mean, variance float64 // of the logarithm
	n              int
	floor          float64 // lower bound of the logarithm, shown by running work
	floored        bool
}

func (e estimate) known() bool { return e.n >= minSampleCount }

func (e estimate) median() time.Duration { return seconds(math.Exp(e.mean)) }

func (e estimate) low() time.Duration {
	return seconds(math.Exp(e.mean - ninthDecile*math.Sqrt(e.variance)))
}

func (e estimate) high() time.Duration {
	return seconds(math.Exp(e.mean + ninthDecile*math.Sqrt(e.variance)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// with returns e after one more sample of the logarithm x.
func (e estimate) withSample(x float64) estimate {
	e.n++
	e.floored = e.floored && e.n < minSampleCount
	w := math.Max(sampleWeight, 1/float64(e.n))
	d := x - e.mean
	e.mean += w * d
	e.variance = (1 - w) * (e.variance + w*d*d)
	return e
}

// predictor keeps an estimate for each kind of work, for a bounded number of
// kinds. The zero value is ready for use.
type predictor struct {
	mu    sync.Mutex
	kinds *lru.Cache[workKey, estimate]
}

// add takes in a sample in seconds.
func (p *predictor) add(k workKey, s float64) {
	x := math.Log(math.Max(s, minPositive))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.addTo(k, x)
	for _, w := range k.wider() {
		p.addTo(w, x)
	}
}

func (p *predictor) init() {
	if p.kinds == nil {
		p.kinds, _ = lru.New[workKey, estimate](maxWorkKinds) // fails only for a size below one
	}
}

func (p *predictor) addTo(k workKey, x float64) {
	e, _ := p.kinds.Get(k)
	p.kinds.Add(k, e.withSample(x))
}

// atLeast notes that work of a kind is running that has taken s seconds
// already; it counts until enough work of the kind has ended.
func (p *predictor) raiseFloor(k workKey, s float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	e, _ := p.kinds.Get(k)
	x := math.Log(math.Max(s, minPositive))
	if e.known() || (e.floored && e.floor >= x) {
		return
	}
	e.floor, e.floored = x, true
	p.kinds.Add(k, e)
}

// estimate returns the narrowest estimate with enough samples.
func (p *predictor) estimate(k workKey) estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	e, ok := p.kinds.Get(k)
	if ok && e.known() {
		return e
	}
	out := p.widerEstimate(k)
	if ok && e.floored {
		out.mean = math.Max(out.mean, e.floor)
	}
	return out
}

// wide returns the narrowest estimate of the wider kinds. Where the pool has
// only seen smaller prompts, work is taken to grow with their size.
func (p *predictor) widerEstimate(k workKey) estimate {
	wider := k.wider()
	for _, w := range wider[:3] {
		if e, ok := p.kinds.Get(w); ok && e.known() {
			return e
		}
	}
	for n := 1; n <= maxDoublings && n < k.Size; n++ {
		if e, ok := p.kinds.Get(workKey{Pool: k.Pool, Size: k.Size - n}); ok && e.known() {
			e.mean += float64(n) * math.Ln2
			e.n = 0
			return e
		}
	}
	if e, ok := p.kinds.Get(wider[3]); ok && e.known() {
		return e
	}
	return estimate{mean: math.Log(defaultWork.Seconds()), variance: defaultVariance}
}

// typical returns the estimate over all work of a pool.
func (p *predictor) typical(pool string) estimate {
	return p.estimate(workKey{Pool: pool})
}
