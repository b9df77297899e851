package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxExamples bounds the faults that a summary tells in full.
const maxExamples = 10

// Summary is what came of a run.
type Summary struct {
	Seed uint64
	Took time.Duration
	// Sent counts requests, repeats included; Unsent those for which the
	// generator had no room.
	Sent   int
	Unsent int
	// InTime counts whole answers within the deadline.
	InTime int
	// Lost counts requests without an answer and answers without their work,
	// Doubled keys that ran more than once, Foreign answers with another
	// request's text, FalseRefusals "not run" that is untrue.
	Lost          int
	Doubled       int
	Foreign       int
	FalseRefusals int
	// Examples tells the first faults.
	Examples []string
	// Codes counts answers by the name of their result.
	Codes map[string]int
	// Short and Long hold the times of whole answers in microseconds, from the
	// time at which the request was due.
	Short *hdrhistogram.Histogram `json:"-"`
	Long  *hdrhistogram.Histogram `json:"-"`
}

// note counts a fault.
func (s *Summary) recordFault(count *int, r *sentRequest, text string) {
	*count++
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, r.marker+": "+text)
	}
}

// Attained is the share of requests that were answered in time.
func (s *Summary) Attained() float64 {
	if s.Sent == 0 {
		return 0
	}
	return float64(s.InTime) / float64(s.Sent)
}

// Goodput is the number of answers in time a second.
func (s *Summary) Goodput() float64 {
	if s.Took <= 0 {
		return 0
	}
	return float64(s.InTime) / s.Took.Seconds()
}

// Fault says what is wrong with the run, or is nil: a request lost, doubled,
// answered with another's work or falsely refused, or not sent at all.
func (s *Summary) Fault() error {
	if s.Lost+s.Doubled+s.Foreign+s.FalseRefusals > 0 {
		return Error.New("%d lost, %d doubled, %d foreign, %d false refusals", s.Lost, s.Doubled, s.Foreign, s.FalseRefusals)
	}
	if s.Unsent > 0 {
		return Error.New("%d requests were not sent: the generator was full", s.Unsent)
	}
	return nil
}

// quantiles are those that a summary tells.
var percentiles = []float64{50, 90, 99, 99.9}

// Write writes s for a terminal.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %d sent in %v, attained %.2f%%, goodput %.1f/s\n",
		s.Seed, s.Sent, s.Took.Round(time.Millisecond), 100*s.Attained(), s.Goodput())
	var names []string
	for name := range s.Codes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %-18s %d\n", name, s.Codes[name])
	}
	writePercentiles(w, "short", s.Short)
	writePercentiles(w, "long", s.Long)
	fmt.Fprintf(w, "  lost %d, doubled %d, foreign %d, false refusals %d, unsent %d\n", s.Lost, s.Doubled, s.Foreign, s.FalseRefusals, s.Unsent)
	for _, text := range s.Examples {
		fmt.Fprintf(w, "    %s\n", text)
	}
}

func writePercentiles(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	fmt.Fprintf(w, "  %-6s n=%d", name, h.TotalCount())
	for _, q := range percentiles {
		fmt.Fprintf(w, " p%g=%v", q, time.Duration(h.ValueAtQuantile(q))*time.Microsecond)
	}
	fmt.Fprintf(w, " max=%v\n", time.Duration(h.Max())*time.Microsecond)
}
