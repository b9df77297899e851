//go:build !race

package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// This file compares policies on a queueing model of engines, as the platform describes
// them: chunks of prompts between steps that give a token to each running request. With
// the race detector it takes minutes, and it has one goroutine.

// Figures of the engines and of the load in the model. Times are in seconds, sizes in
// tokens.
const (
	modelEngines        = 90
	modelChunk          = 3000
	modelPause          = 0.45
	modelGone           = 2.0 // time without a first event after which callers leave
	modelReportInterval = 0.5
	modelSpread         = 0.34 // of the logarithm of outputs: a factor of 1.4
	modelMaxBatch       = 48
)

// modelFigures are the figures of a reference engine.
type modelFigures struct {
	step    float64 // seconds
	prefill float64 // tokens per second
	memory  float64 // tokens
	event   float64 // tokens
}

var usualFigures = modelFigures{stepTime, 48_000, 366_000, 5.5}

// modelKind is a kind of requests.
type modelKind struct {
	name                   string
	rate, target           float64 // per second; seconds to the first event
	prompt, shared, output float64 // mean tokens
}

var modelKinds = []modelKind{
	{"large", 81, 0.5, 9190, 6300, 50},
	{"mixed", 159, 0.3, 2370, 568, 22},
	{"long", 53, 0.3, 715, 172, 280},
}

// modelLoad is a scenario of requests and engines.
type modelLoad struct {
	name string
	// speeds are those of the engines in turn.
	speeds []float64
	// peak is the factor on the rates of requests from 20 to 25 s.
	peak float64
	// slow is the factor on the speed of the first engine from 20 to 22 s.
	slow float64
	// longOutputs is the factor on the rate of the last kind.
	longOutputs float64
	// rate is the factor on the rates of all kinds.
	rate   float64
	hint   func(rng *rand.Rand, output float64) float64
	length float64
	// figures are those of an engine of speed 1.
	figures modelFigures
	// Requests, prefills and busy time count between from and until, in seconds.
	from, until float64
	// recorded holds the requests if they are recorded ones.
	recorded []*modelRequest
}

// modelRequest is a request in the model.
type modelRequest struct {
	work                 Work
	target               float64 // seconds to the first event
	arrival, first       float64
	lastEvent, worstGap  float64
	output, tokens, left float64
	context              float64
	events               int
}

func (r *modelRequest) late() bool {
	return r.first == 0 || r.first-r.arrival > r.target || r.worstGap > modelPause
}

// modelEngine is an engine: requests that wait for their prefill, and running ones.
type modelEngine struct {
	target           *catalog.Target
	speed            float64
	waiting, running []*modelRequest
	cached           map[string]bool
	// until is the end of the step under way; busy is the time in steps, arrivals the number
	// of requests and work their work as the holder counts it, in seconds of this engine.
	until, busy, arrivals, work float64
}

// model runs a load against a policy.
type model struct {
	load    modelLoad
	engines []*modelEngine
	choose  func(w *Work, now time.Time) string
	report  func(r *Report, now time.Time)
	// cached and shared are sums of tokens of shared parts.
	cached, shared float64
}

func modelTime(at float64) time.Time { return time.Unix(1000, 0).Add(seconds(at)) }

// requests returns the requests of a load in the order of their arrivals.
func (l *modelLoad) requests() []*modelRequest {
	if l.recorded != nil {
		return l.recorded
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var out []*modelRequest
	for k, kind := range modelKinds {
		rate := kind.rate * l.rate
		if k == len(modelKinds)-1 {
			rate *= l.longOutputs
		}
		for at := 0.0; at < l.length; {
			now := rate * (1 + 0.3*math.Sin(2*math.Pi*at/12))
			if at >= 20 && at < 25 {
				now *= l.peak
			}
			at += rng.ExpFloat64() / now
			out = append(out, l.request(rng, k, at, len(out)))
		}
	}
	slices.SortFunc(out, func(a, b *modelRequest) int { return int(math.Copysign(1, a.arrival-b.arrival)) })
	return out
}

// request returns a request of kind k. A few of the 16 workspaces are large; each has its
// own usual output, and six documents that requests share.
func (l *modelLoad) request(rng *rand.Rand, k int, at float64, id int) *modelRequest {
	kind := modelKinds[k]
	workspace := int(16 * math.Pow(rng.Float64(), 2))
	usual := math.Exp(0.4 * math.Sin(float64(7*workspace+k)))
	output := kind.output * usual * math.Exp(modelSpread*rng.NormFloat64()-modelSpread*modelSpread/2)
	output = math.Max(1, math.Round(output))
	own := (kind.prompt - kind.shared) * math.Exp(0.3*rng.NormFloat64())
	w := Work{ID: strconv.Itoa(id), Host: "h", Service: "s", Route: kind.name, Workspace: fmt.Sprint("w", workspace), LengthHint: int(l.hint(rng, output))}
	common := fmt.Sprintf("%s/%d", kind.name, workspace)
	w.Parts = []Part{
		{ID: common, Tokens: int(0.6 * kind.shared)},
		{ID: fmt.Sprintf("%s/%d", common, rng.IntN(6)), Tokens: int(0.4 * kind.shared)},
		{ID: w.ID, Tokens: int(own)},
	}
	return &modelRequest{work: w, target: kind.target, arrival: at, output: output}
}

// counts reports whether what happens at a time counts.
func (l *modelLoad) counts(at float64) bool { return at >= l.from && at < l.until }

// arrive queues r at the engine that the policy chooses.
func (m *model) arrive(r *modelRequest) {
	id := m.choose(&r.work, modelTime(r.arrival))
	i, _ := strconv.Atoi(id)
	e := m.engines[i]
	known, counts := true, m.load.counts(r.arrival)
	for i, p := range r.work.Parts {
		r.context += float64(p.Tokens)
		known = known && e.cached[p.ID]
		if !known {
			r.left += float64(p.Tokens)
		}
		if i < len(r.work.Parts)-1 {
			e.cached[p.ID] = true
			if counts {
				m.shared += float64(p.Tokens)
			}
			if known && counts {
				m.cached += float64(p.Tokens)
			}
		}
	}
	if counts {
		e.arrivals++
		e.work += workOf(r.left, r.output) / e.speed
	}
	e.waiting = append(e.waiting, r)
	e.until = math.Max(e.until, r.arrival)
}

// step runs the next step of e, which begins at e.until.
func (m *model) step(e *modelEngine) {
	took, held := 0.0, 0.0
	for _, r := range e.running {
		held += r.context + r.tokens
	}
	if len(e.running) > 0 {
		took += m.load.figures.step + stepTimePerRequest*float64(len(e.running)) + held*1e-9
	}
	var done *modelRequest
	if len(e.waiting) > 0 && len(e.running) < modelMaxBatch && held+e.waiting[0].context <= m.load.figures.memory {
		var chunk float64
		chunk, done = e.prefillChunk()
		took += chunk / m.load.figures.prefill
	}
	speed := e.speed
	if e.target.ID == "0" && e.until >= 20 && e.until < 22 {
		speed *= m.load.slow
	}
	e.until += took / speed
	if m.load.counts(e.until) {
		e.busy += took / speed
	}
	e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool { return m.token(r, e.until) })
	if done != nil {
		e.running = append(e.running, done)
	}
	if held > m.load.figures.memory {
		e.preempt()
	}
}

// prefillChunk prefills a chunk of the first waiting request. It returns the size of the
// chunk, and the request if its prompt is complete.
func (e *modelEngine) prefillChunk() (chunk float64, done *modelRequest) {
	r := e.waiting[0]
	chunk = math.Min(modelChunk, r.left)
	r.left -= chunk
	if r.left == 0 {
		done, e.waiting = r, e.waiting[1:]
	}
	return chunk, done
}

// preempt moves the newest running request back to the head of the queue. It has to be
// prefilled again, with the output so far.
func (e *modelEngine) preempt() {
	last := len(e.running) - 1
	r := e.running[last]
	r.left = r.context + r.tokens
	e.waiting, e.running = slices.Insert(e.waiting, 0, r), e.running[:last]
}

// token gives r a token and reports whether it was the last one.
func (m *model) token(r *modelRequest, at float64) bool {
	r.tokens++
	ended := r.tokens >= r.output
	if !ended && int(r.tokens/m.load.figures.event) == r.events {
		return false
	}
	r.events++
	if r.first == 0 {
		r.first = at
		m.report(&Report{Host: "h", News: []News{{ID: r.work.ID, Progress: Begun}}}, modelTime(at))
	} else {
		r.worstGap = math.Max(r.worstGap, at-r.lastEvent)
	}
	r.lastEvent = at
	if ended {
		m.report(&Report{Host: "h", News: []News{{ID: r.work.ID, Progress: Answered, Events: r.events}}}, modelTime(at))
	}
	return ended
}

// reportOpen reports the open requests.
func (m *model) reportOpen(at float64) {
	o := &OpenRequests{}
	for _, e := range m.engines {
		for _, r := range append(slices.Clone(e.waiting), e.running...) {
			if r.first == 0 {
				o.Waiting = append(o.Waiting, r.work.ID)
			} else {
				o.Begun, o.Events = append(o.Begun, r.work.ID), append(o.Events, r.events)
			}
		}
	}
	m.report(&Report{Host: "h", Open: o}, modelTime(at))
}

// run serves all requests and returns them.
func (m *model) run() []*modelRequest {
	requests := m.load.requests()
	nextReport := modelReportInterval
	for next := 0; next < len(requests); {
		at := math.Min(requests[next].arrival, nextReport)
		var first *modelEngine
		for _, e := range m.engines {
			if len(e.waiting)+len(e.running) > 0 && e.until < at {
				first, at = e, e.until
			}
		}
		switch {
		case first != nil:
			m.step(first)
		case at == nextReport:
			m.reportOpen(at)
			nextReport += modelReportInterval
		default:
			m.arrive(requests[next])
			next++
		}
	}
	return requests
}

// modelResult is what a policy did with a load.
type modelResult struct {
	// late and gone are shares of the requests, cached is the cached share of the shared
	// tokens. busiest is the busy time of the busiest engine over the mean, arrivals and work
	// are the same of the number and of the work of requests.
	late, gone, cached, busiest, arrivals, work float64
	// first and gap are the 99th percentiles of the times to first events and of the
	// longest pauses, in seconds.
	first, gap float64
}

// percentile99 returns the 99th percentile of values.
func percentile99(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)*99/100]
}

func (m *model) result() modelResult {
	var res modelResult
	n := 0.0
	var firsts, gaps []float64
	for _, r := range m.run() {
		if !m.load.counts(r.arrival) {
			continue
		}
		n++
		firsts, gaps = append(firsts, r.first-r.arrival), append(gaps, r.worstGap)
		if r.late() {
			res.late++
		}
		if r.first == 0 || r.first-r.arrival > modelGone {
			res.gone++
		}
	}
	res.late, res.gone, res.cached = res.late/n, res.gone/n, m.cached/m.shared
	res.busiest = m.largest(func(e *modelEngine) float64 { return e.busy })
	res.arrivals = m.largest(func(e *modelEngine) float64 { return e.arrivals })
	res.work = m.largest(func(e *modelEngine) float64 { return e.work })
	res.first, res.gap = percentile99(firsts), percentile99(gaps)
	return res
}

// largest returns the largest value of all engines over their mean.
func (m *model) largest(value func(*modelEngine) float64) float64 {
	largest, total := 0.0, 0.0
	for _, e := range m.engines {
		largest = math.Max(largest, value(e))
		total += value(e)
	}
	return largest / total * float64(len(m.engines))
}

// newModel returns a model of a load and a policy; the empty policy chooses the engine
// with the fewest open requests.
func newModel(l modelLoad, policy Policy) *model {
	m := &model{load: l, report: func(*Report, time.Time) {}}
	var targets []*catalog.Target
	for i := range modelEngines {
		t := &catalog.Target{ID: strconv.Itoa(i), Slots: modelMaxBatch}
		targets = append(targets, t)
		m.engines = append(m.engines, &modelEngine{target: t, speed: l.speeds[i%len(l.speeds)], cached: map[string]bool{}})
	}
	if policy == "" {
		m.choose = func(*Work, time.Time) string {
			return slices.MinFunc(m.engines, func(a, b *modelEngine) int {
				return len(a.waiting) + len(a.running) - len(b.waiting) - len(b.running)
			}).target.ID
		}
		return m
	}
	lt := NewLoadTable(fakeQuotas{})
	if policy == WorkPolicy {
		lt.work = newWorkState()
	}
	m.choose = func(w *Work, now time.Time) string { return lt.Choose(w, targets, now).Target }
	m.report = func(r *Report, now time.Time) { lt.Apply(r, now) }
	return m
}

// runModel runs and logs a load against a policy.
func runModel(t *testing.T, l modelLoad, policy Policy) modelResult {
	r := newModel(l, policy).result()
	name := string(policy)
	if policy == "" {
		name = "fewest"
	}
	t.Logf("%-8s late %.4f gone %.4f busiest %.2f arrivals %.2f work %.2f cached %.4f first %.3f s gap %.3f s", name, r.late, r.gone, r.busiest, r.arrivals, r.work, r.cached, r.first, r.gap)
	return r
}

func usualHint(rng *rand.Rand, output float64) float64 {
	return math.Max(1, output*math.Exp(0.8*rng.NormFloat64()))
}

func absurdHint(rng *rand.Rand, _ float64) float64 { return []float64{-1, 0, 1, 1e6, 37}[rng.IntN(5)] }

// TestPoliciesOnEngines compares the policies on loads like those of the second customer
// with uneven demand and targets. The logged figures are those of the design note.
func TestPoliciesOnEngines(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	unequal := []float64{0.6, 1, 1.6}
	for _, c := range []struct {
		load modelLoad
		// maxBusiest bounds busiest, maxLate the share of late requests, both for Work.
		maxBusiest, maxLate float64
	}{
		{modelLoad{name: "calm", rate: 1, speeds: unequal, peak: 1, slow: 1, longOutputs: 1, hint: usualHint, length: 32}, 1.3, 0.02},
		{modelLoad{name: "peak", rate: 1, speeds: unequal, peak: 3, slow: 1, longOutputs: 1, hint: usualHint, length: 32}, 1.5, 0.1},
		{modelLoad{name: "slow engine", rate: 1, speeds: unequal, peak: 1, slow: 0.1, longOutputs: 1, hint: usualHint, length: 32}, 1.5, 0.05},
		{modelLoad{name: "absurd hints", rate: 1, speeds: unequal, peak: 1, slow: 1, longOutputs: 1, hint: absurdHint, length: 32}, 1.3, 0.02},
		{modelLoad{name: "double load, peak", rate: 2, speeds: unequal, peak: 3, slow: 1, longOutputs: 1, hint: usualHint, length: 32}, 1.5, 0.1},
		{modelLoad{name: "long outputs", rate: 1, speeds: unequal, peak: 1, slow: 1, longOutputs: 5, hint: usualHint, length: 32}, 1.5, 0.1},
	} {
		c.load.figures = usualFigures
		// The last seconds don't count, since their requests are not complete.
		c.load.from, c.load.until = 15, c.load.length-5
		t.Run(c.load.name, func(t *testing.T) {
			results := map[Policy]modelResult{}
			for _, policy := range []Policy{WorkPolicy, PrefillPolicy, ""} {
				results[policy] = runModel(t, c.load, policy)
			}
			work, prefill := results[WorkPolicy], results[PrefillPolicy]
			if work.busiest > c.maxBusiest {
				t.Errorf("busiest engine has %.2f of the mean, want at most %.2f", work.busiest, c.maxBusiest)
			}
			if work.late > c.maxLate || work.late > prefill.late+0.002 {
				t.Errorf("%.4f of the requests are late, want at most %.4f and at most those of Prefill, %.4f", work.late, c.maxLate, prefill.late)
			}
			if work.cached < prefill.cached-0.02 {
				t.Errorf("%.3f of the shared tokens are cached, %.3f with Prefill", work.cached, prefill.cached)
			}
		})
	}
}
