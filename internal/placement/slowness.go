package placement

import (
	"math"
	"time"
)

// The decisions of this file answer engines whose lasting speeds differ and that share
// their machines with others, so that one may be slow for a while.

// Weights, times and bounds of what is learned of speeds. Slowness is the ratio of the
// time that a target takes to that of a reference engine; sums are of its logarithm.
const (
	// minLastingWeight is the weight of the newest sample in the lasting slowness once
	// there are many. A target gets two or three requests a second, so that a slow phase
	// of two seconds changes its lasting slowness by a sixth at most.
	minLastingWeight = 0.03
	// maxLastingStep bounds the effect of one sample on the lasting slowness, and
	// with it that of a slow phase: a factor of 2.
	maxLastingStep = 0.7
	// passingWeight is the weight of the newest sample in the passing slowness,
	// passingTime the time constant with which that returns to none. A slow target gets
	// few requests that could show that it is fast again. With a weight of 0.3, samples of
	// wrongly predicted queues doubled the late requests of the double load in
	// TestPoliciesOnEngines; a phase that is really slow shows by what waits.
	passingWeight = 0.1
	passingTime   = 4 * time.Second
	// maxPassing bounds the passing slowness and its samples; maxPassingFactor is the
	// factor.
	maxPassing       = 3
	maxPassingFactor = 20
	// meanSlownessWeight is the weight of the newest sample in the mean slowness.
	meanSlownessWeight = 0.01
	// initialSamples is the number of samples that the mean slowness counts for in the
	// lasting slowness of a new incarnation.
	initialSamples = 3
)

// slowness is what is known of the speed of one incarnation of a target.
type slowness struct {
	samples          int
	lasting, passing float64
	passingAt        time.Time
	// lastingFactor and passingFactor are the factors on times at passingAt. They are kept
	// since a choice needs them of every target.
	lastingFactor, passingFactor float64
}

// newSlowness returns what is assumed of a new incarnation.
func newSlowness(mean float64) slowness {
	return slowness{lasting: mean, lastingFactor: math.Exp(mean), passingFactor: 1}
}

// passingNow returns the decayed passing slowness.
func (s *slowness) passingNow(now time.Time) float64 {
	if s.passing == 0 {
		return 0
	}
	return s.passing * math.Exp(-now.Sub(s.passingAt).Seconds()/passingTime.Seconds())
}

// add adds the logarithm of the slowness that a first event has shown.
func (s *slowness) add(x float64, now time.Time) {
	d := max(-maxPassing, min(x-s.lasting, maxPassing))
	passing := s.passingNow(now)
	s.passing, s.passingAt = passing+passingWeight*(d-passing), now
	weight := max(minLastingWeight, 1/float64(s.samples+initialSamples+1))
	s.lasting += weight * max(-maxLastingStep, min(d, maxLastingStep))
	s.samples++
	s.lastingFactor, s.passingFactor = math.Exp(s.lasting), math.Exp(s.passing)
}

// factor returns the factor on the times of a reference engine: now, and without what
// passes.
func (s *slowness) factor(now time.Time) (present, lasting float64) {
	if s.passingFactor == 1 {
		return s.lastingFactor, s.lastingFactor
	}
	decay := math.Exp(-now.Sub(s.passingAt).Seconds() / passingTime.Seconds())
	return s.lastingFactor * (1 + (s.passingFactor-1)*decay), s.lastingFactor
}

// sampleOf returns the logarithm of the slowness of a target that took the time for a
// first event that takes reference seconds on a reference engine.
func sampleOf(took time.Duration, reference float64) float64 {
	return math.Log(max(1e-3, took.Seconds()-firstEventOverhead) / reference)
}
