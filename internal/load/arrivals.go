package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Shape is how the arrival rate changes over a run: Steady or Peak.
type Shape interface{ isShape() }

// Steady is a constant rate.
type Steady struct{}

// Peak multiplies the rate by Factor for Duration, beginning at Start.
type Peak struct {
	Factor   float64
	Start    time.Duration
	Duration time.Duration
}

func (Steady) isShape() {}
func (Peak) isShape()   {}

// Arrivals is a Poisson process whose rate follows Shape.
type Arrivals struct {
	// Rate is in requests per second.
	Rate     float64
	Shape    Shape
	Duration time.Duration
	// Max limits the number of requests; zero means MaxRequests.
	Max int
}

func (a *Arrivals) check() error {
	switch {
	case a.Rate <= 0:
		return Error.New("the rate must be positive")
	case a.Duration <= 0 || a.Duration > MaxDuration:
		return Error.New("the duration must be positive and at most %v", MaxDuration)
	case a.Max < 0 || a.Max > MaxRequests:
		return Error.New("the number of requests must be at most %d", MaxRequests)
	}
	return nil
}

// rate returns the arrival rate at a time since the start.
func (a *Arrivals) rate(after time.Duration) float64 {
	switch s := a.Shape.(type) {
	case nil, Steady:
		return a.Rate
	case Peak:
		if after >= s.Start && after < s.Start+s.Duration {
			return a.Rate * s.Factor
		}
		return a.Rate
	default:
		panic(fmt.Sprintf("load: unexpected shape %T", s))
	}
}

func (a *Arrivals) maxRate() float64 {
	if s, ok := a.Shape.(Peak); ok {
		return a.Rate * max(s.Factor, 1)
	}
	return a.Rate
}

// draw returns the arrival times since the start. It samples by thinning:
// candidates come at the highest rate, and each is kept with the probability
// of the current rate over the highest.
func (a *Arrivals) draw(rnd *rand.Rand) []time.Duration {
	limit := a.Max
	if limit == 0 {
		limit = MaxRequests
	}
	var out []time.Duration
	maxRate := a.maxRate()
	for after := time.Duration(0); len(out) < limit; {
		after += time.Duration(rnd.ExpFloat64() / maxRate * float64(time.Second))
		if after >= a.Duration {
			break
		}
		if rnd.Float64()*maxRate < a.rate(after) {
			out = append(out, after)
		}
	}
	return out
}
