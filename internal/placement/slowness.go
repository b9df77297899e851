package placement

import (
	"math"
	"time"
)

// This file learns the speeds of engines. Their lasting speeds differ, and an engine that
// shares its machine may be slow for a while.

// Weights, times and bounds of what is learned of speeds. Slowness is the ratio of the
// time that a target takes to that of a reference engine; sums are of its logarithm.
const (
	// minLastingWeight is the weight of the newest sample in the lasting slowness once
	// there are many. It is small, so that the few samples of a short slow phase change
	// the lasting slowness little.
	minLastingWeight = 0.03
	// maxLastingStep bounds the effect of one sample on the lasting slowness, and
	// with it that of a slow phase: a factor of 2.
	maxLastingStep = 0.7
	// passingWeight is the weight of the newest sample in the passing slowness,
	// passingTime the time constant with which that returns to none. A slow target gets
	// few requests that could show that it is fast again. The weight is small because
	// wrongly predicted queues give wrong samples; a slow phase also shows by the request
	// that waits longest.
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

// factor returns the factors on the times of a reference engine: the present one, and the
// one without the passing slowness.
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
