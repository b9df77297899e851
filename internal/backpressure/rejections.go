package backpressure

import (
	"math"
	"time"
)

// The decision of this file answers targets that turn away most requests while their
// health is good: one that rejects again and again gets a request now and then, so
// that first sends, and repeats of which there are few, go where they are taken.

const (
	// rejectPause is how long a target gets nothing after a single rejection,
	// maxRejectPause how much longer after many.
	rejectPause    = 60 * time.Millisecond
	maxRejectPause = time.Second
	// rejectWeight is the weight of the newest outcome in the rate of rejections,
	// rejectDecayTime the time constant with which that rate decays.
	rejectWeight    = 0.3
	rejectDecayTime = 4 * time.Second
)

// Rejections is the recent rate at which a target rejects requests. The zero value is
// ready for use; it is not safe for concurrent use.
type Rejections struct {
	rate float64
	at   time.Time
}

// Record records the outcome of a request and returns how long the target should get
// nothing.
func (r *Rejections) Record(rejected bool, now time.Time) time.Duration {
	r.rate *= math.Exp(-now.Sub(r.at).Seconds() / rejectDecayTime.Seconds())
	r.at = now
	if !rejected {
		r.rate -= rejectWeight * r.rate
		return 0
	}
	r.rate += rejectWeight * (1 - r.rate)
	return rejectPause + time.Duration(math.Pow(r.rate, 3)*float64(maxRejectPause))
}
