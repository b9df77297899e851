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

// Work is the distribution of what requests ask for: log-normal around the
// median, and for a share of them LongFactor times as long.
type Work struct {
	// Service is the median time on a target of speed one, Tokens the median
	// number of generated tokens; either may be zero.
	ServiceTime time.Duration
	Tokens      int
	// Sigma is the standard deviation of the logarithm; zero gives all short
	// requests the median.
	Sigma      float64
	LongShare  float64
	LongFactor float64
	// Prefixes is the number of prompt prefixes in use; zero sends none.
	Prefixes int
}

// draw returns a body with the mark, and whether it is one of the long ones.
func (w *Work) draw(rnd *rand.Rand, mark string) ([]byte, bool) {
	factor := math.Exp(w.Sigma * rnd.NormFloat64())
	long := rnd.Float64() < w.LongShare
	if long {
		factor *= w.LongFactor
	}
	work := contract.Work{
		Text:    mark,
		Service: time.Duration(float64(w.ServiceTime) * factor),
		Tokens:  int(float64(w.Tokens) * factor),
	}
	if w.Prefixes > 0 {
		work.Prefix = "prefix " + strconv.Itoa(rnd.IntN(w.Prefixes))
	}
	body, err := json.Marshal(work)
	if err != nil {
		panic(err) // a Work always has a JSON form
	}
	return body, long
}

// mark names request i of a seed, in a form that its answer repeats.
func newMarker(seed uint64, i int) string { return fmt.Sprintf("[%d.%d]", seed, i) }

var markerPattern = regexp.MustCompile(`\[\d+\.\d+\]`)

// marksIn reports whether text has the mark, and whether it has another one.
func findMarkers(text, mark string) (own, foreign bool) {
	for _, m := range markerPattern.FindAllString(text, -1) {
		if m == mark {
			own = true
		} else {
			foreign = true
		}
	}
	return own, foreign
}
