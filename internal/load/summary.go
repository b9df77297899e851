package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxExamples limits the faults that a summary lists in full.
const maxExamples = 10

// Summary is the result of a run.
type Summary struct {
	Seed uint64
	Took time.Duration
	// Sent counts requests, including repeats; Unsent counts those not sent
	// because maxInFlight requests were already in flight.
	Sent   int
	Unsent int
	// InTime counts successful answers within the deadline.
	InTime int
	// Lost counts requests without an answer, and successful answers without the
	// request's marker or without a counted run. Doubled counts keys that ran
	// more than once, Foreign answers with another request's marker, and
	// FalseRefusals answers that say "not run" although the request ran.
	Lost          int
	Doubled       int
	Foreign       int
	FalseRefusals int
	// Examples describes the first faults.
	Examples []string
	// Codes counts answers by the name of their result.
	Codes map[string]int
	// Short and Long hold the latencies of successful answers to short and long
	// requests in microseconds, from the scheduled time of the request.
	Short *hdrhistogram.Histogram `json:"-"`
	Long  *hdrhistogram.Histogram `json:"-"`
}

// recordFault increments count and adds the fault to the examples.
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

// Goodput is the number of answers in time per second.
func (s *Summary) Goodput() float64 {
	if s.Took <= 0 {
		return 0
	}
	return float64(s.InTime) / s.Took.Seconds()
}

// Fault returns an error if a request was lost, run twice, answered with
// another request's work, falsely refused, or not sent at all.
func (s *Summary) Fault() error {
	if s.Lost+s.Doubled+s.Foreign+s.FalseRefusals > 0 {
		return Error.New("%d lost, %d doubled, %d foreign, %d false refusals", s.Lost, s.Doubled, s.Foreign, s.FalseRefusals)
	}
	if s.Unsent > 0 {
		return Error.New("%d requests were not sent: too many requests in flight", s.Unsent)
	}
	return nil
}

// percentiles are those that a summary prints.
var percentiles = []float64{50, 90, 99, 99.9}

// Write writes s as text for a terminal.
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
