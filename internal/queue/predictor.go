package queue

import (
	"math"
	"math/bits"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// workKey identifies a kind of work. Narrower kinds have more fields set.
type workKey struct {
	Pool      string
	Stage     string
	Pipeline  string
	Workspace string
	// Size is the bit length of the prompt's size in bytes.
	Size int
}

func workKeyOf(a *SlotRequest) workKey {
	return workKey{Pool: a.Pool, Stage: a.Stage, Pipeline: a.Pipeline, Workspace: a.Workspace, Size: bits.Len(uint(a.PromptBytes))}
}

// wider returns the kinds to fall back to, in this order, while k has too few
// samples: all workspaces, then also all sizes, then all work of the pool of this
// size, then all work of the pool.
func (k workKey) wider() [4]workKey {
	sized := workKey{Pool: k.Pool, Stage: k.Stage, Pipeline: k.Pipeline, Size: k.Size}
	stage := workKey{Pool: k.Pool, Stage: k.Stage, Pipeline: k.Pipeline}
	return [4]workKey{sized, stage, {Pool: k.Pool, Size: k.Size}, {Pool: k.Pool}}
}

// Parameters of the estimates.
const (
	maxWorkKinds    = 4096
	minSampleCount  = 3
	sampleWeight    = 0.05                   // weight of a new sample, once there are many
	ninthDecile     = 1.2816                 // quantile of the standard normal distribution
	defaultWork     = 100 * time.Millisecond // median before there are samples
	defaultVariance = 1.0
	minPositive     = 1e-5 // lower bound of a sample in seconds, and of divisors
	maxDoublings    = 6    // of a prompt's size over the sizes with samples
)

// estimate is a log-normal distribution of run times in seconds.
type estimate struct {
	mean, variance float64 // of the logarithm
	n              int
	floor          float64 // lower bound of the logarithm, known from running work
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

// withSample returns e after one more sample, whose logarithm is x.
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
// kinds. The zero value is ready to use.
type predictor struct {
	mu    sync.Mutex
	kinds *lru.Cache[workKey, estimate]
}

// add records a sample in seconds for k and its wider kinds.
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

// raiseFloor records that work of kind k has been running for s seconds. The floor
// applies until enough work of the kind has ended.
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

// widerEstimate returns the narrowest estimate of the wider kinds. If the pool has
// samples of smaller prompts only, work is assumed to grow in proportion to size.
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
