package report

import (
	"time"

	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms of stage times, in microseconds.
const (
	minMicroseconds = 50
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	precisionDigits = 2
)

// stage accumulates the costs of a stage of a pipeline.
type stage struct {
	total StageTotal
	ran   *hdrhistogram.Histogram
}

// addStage adds s to the costs of its stage; r.mu must be held.
func (r *Recorder) addStage(pipeline string, s *caller.StageReport) {
	key := stageKey{pipeline, s.Stage}
	if r.stages[key] == nil && len(r.stages) >= maxStages {
		key = stageKey{OtherName, OtherName}
	}
	t := r.stages[key]
	if t == nil {
		t = &stage{ran: hdrhistogram.New(minMicroseconds, maxMicroseconds, precisionDigits)}
		r.stages[key] = t
	}
	t.total.add(&StageTotal{
		Requests:     1,
		Attempts:     int64(s.Attempts),
		Queued:       s.Queued,
		Ran:          s.Ran,
		Cost:         s.Cost,
		Extra:        s.Extra,
		PromptTokens: int64(s.PromptTokens),
		CachedTokens: int64(s.CachedTokens),
	})
	t.ran.RecordValue(min(s.Ran.Microseconds(), maxMicroseconds))
}

// StageTotal is the sum of a stage's counts and times over requests. Times are
// in nanoseconds.
type StageTotal struct {
	Requests int64
	Attempts int64
	Queued   time.Duration
	Ran      time.Duration
	// Cost is the time that targets spent on the stage; Extra is the part of it
	// spent on retries and hedges.
	Cost         time.Duration
	Extra        time.Duration
	PromptTokens int64
	CachedTokens int64
}

func (t *StageTotal) add(o *StageTotal) {
	t.Requests += o.Requests
	t.Attempts += o.Attempts
	t.Queued += o.Queued
	t.Ran += o.Ran
	t.Cost += o.Cost
	t.Extra += o.Extra
	t.PromptTokens += o.PromptTokens
	t.CachedTokens += o.CachedTokens
}

// perRequest divides d by the number of requests.
func (t *StageTotal) perRequest(d time.Duration) time.Duration {
	if t.Requests == 0 {
		return 0
	}
	return d / time.Duration(t.Requests)
}

// cost returns the stage in the form of a host report.
func (s *stage) cost(key stageKey) StageCost {
	return StageCost{Pipeline: key.pipeline, Stage: key.stage, StageTotal: s.total, RanHistogram: encode(s.ran)}
}

// encode returns the compressed form of h, which is base64 text, or an empty
// string if encoding fails.
func encode(h *hdrhistogram.Histogram) string {
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(text)
}
