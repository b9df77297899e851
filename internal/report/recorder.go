// Package report shows operators how well requests were served: how fast each
// workspace and pipeline spends its error budget, and what each stage costs.
//
// A Recorder on each host counts answers in a bounded number of time buckets and
// returns them as a Host report. Merge adds the reports of several hosts, and
// Summarize computes burn rates and budgets from the sum, which are written as
// text, JSON or an HTML page. Counts are kept in memory only: a report covers
// what the hosts that answer have served since they were started.
package report

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
)

// DefaultObjective is the objective of a pipeline that declares none: the share
// of requests to be answered in time.
const DefaultObjective = 0.99

// Limits of a recorder's memory. At 1,300 workspaces and 18 pipelines every
// pair has a series of its own.
const (
	maxSeries = 32768
	maxStages = 1024
)

// OtherName replaces the workspace and pipeline of requests beyond maxSeries,
// and the pipeline and stage of costs beyond maxStages.
const OtherName = "(other)"

// Outcome is the outcome of one request.
type Outcome struct {
	Workspace string
	Pipeline  string
	// Objective is the pipeline's objective; zero means DefaultObjective.
	Objective float64
	// Deadline is the time allowed for the request; zero if an OK answer is
	// known to be in time.
	Deadline time.Duration
	Answer   *caller.Answer
}

// Classification says how an outcome counts for the service level.
type Classification int

// The classifications. Uncounted requests are neither good nor bad: the caller
// was at fault or cancelled the request, or another attempt with the same key is
// counted.
const (
	Uncounted Classification = iota
	Good
	Bad
)

// firstServiceCode is the lowest result code that is not the caller's fault.
const firstServiceCode result.Code = 200

// Classify returns how o counts.
func (o *Outcome) Classify() Classification {
	switch code := o.Answer.Code; {
	case code == result.OK && (o.Deadline == 0 || o.Answer.Took <= o.Deadline):
		return Good
	case code == result.OK:
		return Bad
	case code < firstServiceCode, code == result.Cancelled, code == result.InProgress:
		return Uncounted
	default:
		return Bad
	}
}

// Recorder counts outcomes. Exported fields must be set before the first call of
// Record.
type Recorder struct {
	Clock *clock.Service
	// Name is the name of the host.
	Name string

	mu     sync.Mutex
	since  time.Time
	series map[seriesKey]*series
	stages map[stageKey]*stage
	shared int64 // requests counted without a series of their own
}

type seriesKey struct{ workspace, pipeline string }

type stageKey struct{ pipeline, stage string }

// series counts the outcomes of one workspace at one pipeline.
type series struct {
	objective float64
	rings     [len(windows)]ring
}

// init creates the maps on first use; r.mu must be held.
func (r *Recorder) init(now time.Time) {
	if r.series != nil {
		return
	}
	r.since = now
	r.series = map[seriesKey]*series{}
	r.stages = map[stageKey]*stage{}
}

// Record counts o and adds the costs of its stages.
func (r *Recorder) Record(o Outcome) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init(now)
	if j := o.Classify(); j != Uncounted {
		r.seriesFor(&o).add(now, j == Good)
	}
	if o.Answer.Repeated {
		return // the stages were counted with the first attempt
	}
	for i := range o.Answer.Stages {
		r.addStage(o.Pipeline, &o.Answer.Stages[i])
	}
}

// seriesFor returns the series of o. Once maxSeries are in use, requests
// without a series of their own share one.
func (r *Recorder) seriesFor(o *Outcome) *series {
	key := seriesKey{o.Workspace, o.Pipeline}
	if s := r.series[key]; s != nil {
		s.objective = objectiveOrDefault(o.Objective)
		return s
	}
	if len(r.series) >= maxSeries {
		r.shared++
		key = seriesKey{OtherName, OtherName}
		if s := r.series[key]; s != nil {
			return s
		}
	}
	s := &series{objective: objectiveOrDefault(o.Objective)}
	r.series[key] = s
	return s
}

func objectiveOrDefault(v float64) float64 {
	if v <= 0 || v >= 1 {
		return DefaultObjective
	}
	return v
}

func (s *series) add(now time.Time, good bool) {
	for i := range s.rings {
		s.rings[i].add(now, windows[i].bucket(), good)
	}
}

// Host returns the host's report.
func (r *Recorder) Host() *Host {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init(now)
	h := &Host{Name: r.Name, At: now, Since: r.since, Shared: r.shared}
	for key, s := range r.series {
		h.Levels = append(h.Levels, s.level(key, now))
	}
	for key, s := range r.stages {
		h.Stages = append(h.Stages, s.cost(key))
	}
	h.sort()
	return h
}
