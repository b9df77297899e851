package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// Work is the distribution of the work of requests: log-normal around the
// median, and LongFactor times as long for a share of them.
type Work struct {
	// ServiceTime is the median time on a target of speed one, Tokens the median
	// number of generated tokens; either may be zero.
	ServiceTime time.Duration
	Tokens      int
	// Sigma is the standard deviation of the logarithm; zero gives all short
	// requests the median work.
	Sigma      float64
	LongShare  float64
	LongFactor float64
	// Prefixes is the number of prompt prefixes in use; zero sends none.
	Prefixes int
}

// draw returns a request body with the marker, and whether its work is long.
func (w *Work) draw(rnd *rand.Rand, marker string) ([]byte, bool) {
	factor := math.Exp(w.Sigma * rnd.NormFloat64())
	long := rnd.Float64() < w.LongShare
	if long {
		factor *= w.LongFactor
	}
	work := contract.Work{
		Text:    marker,
		Service: time.Duration(float64(w.ServiceTime) * factor),
		Tokens:  int(float64(w.Tokens) * factor),
	}
	if w.Prefixes > 0 {
		work.Prefix = "prefix " + strconv.Itoa(rnd.IntN(w.Prefixes))
	}
	body, err := json.Marshal(work)
	if err != nil {
		panic(err) // a Work always encodes as JSON
	}
	return body, long
}

// newMarker returns the marker of request i of a seed; targets echo it in the
// answer.
func newMarker(seed uint64, i int) string { return fmt.Sprintf("[%d.%d]", seed, i) }

var markerPattern = regexp.MustCompile(`\[\d+\.\d+\]`)

// findMarkers reports whether text contains marker, and whether it contains
// another one.
func findMarkers(text, marker string) (own, foreign bool) {
	for _, m := range markerPattern.FindAllString(text, -1) {
		if m == marker {
			own = true
		} else {
			foreign = true
		}
	}
	return own, foreign
}
