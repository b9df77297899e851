package placement

import "math"

// This file predicts the lengths of outputs. Requests that look alike get outputs of very
// different length, and callers' hints are often far off.

// Weights and bounds of the prediction of outputs. Lengths are logarithms of numbers of
// tokens, since outputs differ by factors.
const (
	// tokensPerEvent is the mean number of output tokens in an event of a stream; targets
	// put five or six into one.
	tokensPerEvent = 5.5
	// initialOutput is the output that is predicted before any request has ended, in
	// tokens; initialSpread is the standard deviation of its logarithm.
	initialOutput = 100
	initialSpread = 1
	// initialHintSpread is the standard deviation of the logarithm of the error of hints
	// before any request with a hint has ended.
	initialHintSpread = 0.5
	// minOutputWeight is the weight of the newest request in the statistics once many
	// have ended; before that, all count alike.
	minOutputWeight = 0.03
	// maxLogError bounds what one request adds to the statistics: a factor of 20.
	maxLogError = 3
	// minSpread is the smallest standard deviation assumed, since few requests that end
	// alike don't show that all will.
	minSpread = 0.1
	// absurdLogError is the distance of a hint from the usual length of its class, in
	// standard deviations, from which the hint doesn't count. It is that far off by a
	// mistake of the caller, such as another unit, rather than of its estimate.
	absurdLogError = 5
	// minClassSamples is the number of ends from which the statistics of a class are
	// used rather than those of a wider one.
	minClassSamples = 8
	// maxOutputClasses bounds the classes; requests of further ones count in the wider
	// classes alone.
	maxOutputClasses = 1024
)

// OutputTokens returns the approximate number of output tokens in a number of events.
func OutputTokens(events int) int { return int(math.Round(tokensPerEvent * float64(events))) }

// logStats is the running mean and variance of logarithms.
type logStats struct {
	samples        int
	mean, variance float64
}

// add adds the logarithm x.
func (s *logStats) add(x float64) {
	s.samples++
	weight := max(minOutputWeight, 1/float64(s.samples+1))
	d := max(-maxLogError, min(x-s.mean, maxLogError))
	s.mean += weight * d
	s.variance = (1 - weight) * (s.variance + weight*d*d)
}

// spread returns the variance, at least that of minSpread.
func (s *logStats) spread() float64 { return max(s.variance, minSpread*minSpread) }

// outputKey names a class of requests. An empty Workspace stands for all workspaces, an
// empty Route for all routes.
type outputKey struct{ Route, Workspace string }

// outputClass holds what the ends of the requests of a class have shown.
type outputClass struct {
	lengths logStats
	// hintErrors holds the statistics of the ratio of the output to the hint.
	hintErrors logStats
}

func newOutputClass() *outputClass {
	return &outputClass{
		lengths:    logStats{mean: math.Log(initialOutput), variance: initialSpread * initialSpread},
		hintErrors: logStats{variance: initialHintSpread * initialHintSpread},
	}
}

// outputPredictor predicts the lengths of outputs.
type outputPredictor struct {
	classes map[outputKey]*outputClass
}

func newOutputPredictor() *outputPredictor {
	return &outputPredictor{classes: map[outputKey]*outputClass{{}: newOutputClass()}}
}

// outputKeys returns the classes of w, the narrowest first.
func (w *Work) outputKeys() [3]outputKey {
	return [3]outputKey{{w.Route, w.Workspace}, {Route: w.Route}, {}}
}

// outputEstimate is the predicted output of a request, log-normally distributed.
type outputEstimate struct {
	keys [3]outputKey
	// hint is that of the caller, or zero.
	hint float64
	// median is in tokens; sigma is the standard deviation of the logarithm, the
	// prediction error.
	median, sigma float64
	// limit is the largest output that the caller takes, in tokens, or infinite.
	limit float64
}

// predict returns the estimate for w.
func (p *outputPredictor) predict(w *Work) outputEstimate {
	e := outputEstimate{keys: w.outputKeys(), limit: math.Inf(1)}
	if w.MaxOutput > 0 {
		e.limit = float64(w.MaxOutput)
	}
	lengths, hintErrors := p.stats(e.keys)
	mean, variance := lengths.mean, lengths.spread()
	if hint := float64(w.LengthHint); hint > 0 && hint <= e.limit {
		e.hint = hint
		hinted := math.Log(hint) + hintErrors.mean
		if math.Abs(hinted-mean) <= absurdLogError*math.Sqrt(variance+hintErrors.spread()) {
			mean, variance = combine(mean, variance, hinted, hintErrors.spread())
		}
	}
	e.median, e.sigma = min(math.Exp(mean), e.limit), math.Sqrt(variance)
	return e
}

// combine returns the mean and the variance of two independent estimates together, each
// weighted by its precision.
func combine(mean1, variance1, mean2, variance2 float64) (mean, variance float64) {
	variance = 1 / (1/variance1 + 1/variance2)
	return variance * (mean1/variance1 + mean2/variance2), variance
}

// stats returns the statistics of the narrowest classes that have seen enough requests.
func (p *outputPredictor) stats(keys [3]outputKey) (lengths, hintErrors *logStats) {
	all := p.classes[outputKey{}]
	lengths, hintErrors = &all.lengths, &all.hintErrors
	for i := len(keys) - 1; i >= 0; i-- {
		c := p.classes[keys[i]]
		if c == nil {
			continue
		}
		if c.lengths.samples >= minClassSamples {
			lengths = &c.lengths
		}
		if c.hintErrors.samples >= minClassSamples {
			hintErrors = &c.hintErrors
		}
	}
	return lengths, hintErrors
}

// learn adds the output of a complete request that was predicted as e, in tokens.
func (p *outputPredictor) learn(e outputEstimate, output float64) {
	x := math.Log(max(1, output))
	for i, key := range e.keys {
		if i > 0 && key == e.keys[i-1] {
			continue
		}
		c := p.classes[key]
		if c == nil {
			if len(p.classes) >= maxOutputClasses {
				continue
			}
			c = newOutputClass()
			p.classes[key] = c
		}
		c.lengths.add(x)
		if e.hint > 0 {
			c.hintErrors.add(x - math.Log(e.hint))
		}
	}
}

// mean returns the mean output in tokens.
func (e outputEstimate) mean() float64 {
	return min(e.median*math.Exp(e.sigma*e.sigma/2), e.limit)
}

// high returns an output that is exceeded by about one in six of the requests. The wider
// the prediction error, the more room it leaves.
func (e outputEstimate) high() float64 { return min(e.median*math.Exp(e.sigma), e.limit) }

// left returns the mean output that is still to come after seen tokens. A request that
// outlives its prediction goes on for the longer, the longer it has run already.
func (e outputEstimate) left(seen float64) float64 {
	left := max(e.mean()-seen, e.sigma*seen/2)
	return max(0, min(left, e.limit-seen))
}
