// Package backpressure heeds what targets ask of the hosts that send to them: a
// limit on the requests of all hosts together, a pause for one host, or to be left
// alone since they drain. A Table holds what targets have said.
package backpressure

import "time"

// Signal is what a target says of itself in the header of a response.
type Signal struct {
	// Limited is set if the target takes only Limit requests a second from all hosts
	// together.
	Limited bool
	Limit   float64
	// Pause is how long the target wants no requests from this host; zero if it
	// does not say.
	Pause time.Duration
	// Leaving is set if the target drains.
	Leaving bool
	// Cold is the remaining cold time; zero if the response doesn't name one.
	Cold time.Duration
	// Invalid describes a field that could not be decoded, or is empty.
	Invalid string
}

// Bounds of what a target may say. What exceeds them is cut to them.
const (
	// MaxLimit is the greatest limit in requests a second.
	MaxLimit = 1e6
	// MaxPause is the longest pause.
	MaxPause = 10 * time.Minute
)
