package report

import (
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Host is the report of one host, or the sum of several.
type Host struct {
	Name string
	At   time.Time
	// Since is the start of the time that the report covers.
	Since  time.Time
	Levels []Level
	Stages []StageCost
	// Shared is the number of requests counted without a series of their own.
	Shared int64 `json:",omitempty"`
}

// Level is the service level of a workspace at a pipeline, as counts.
type Level struct {
	Workspace string
	Pipeline  string
	Objective float64
	Windows   []Window
}

// Window counts requests over a length of time, in buckets, oldest first. The
// last bucket is incomplete.
type Window struct {
	Length  declaration.Duration
	Buckets []Count
}

// Sum returns the sum of the buckets.
func (w *Window) Sum() Count {
	var sum Count
	for _, b := range w.Buckets {
		sum.add(b)
	}
	return sum
}

// StageCost is the cost of a stage of a pipeline.
type StageCost struct {
	Pipeline string
	Stage    string
	StageTotal
	// RanHistogram holds the run times of the stage in microseconds, as an HDR
	// histogram in its compressed text form.
	RanHistogram string
}

// level returns the series in the form of a host report.
func (s *series) level(key seriesKey, now time.Time) Level {
	l := Level{Workspace: key.workspace, Pipeline: key.pipeline, Objective: s.objective}
	for i := range s.rings {
		w := windows[i]
		l.Windows = append(l.Windows, Window{Length: declaration.Duration(w.length), Buckets: s.rings[i].counts(now, w.bucket())})
	}
	return l
}

func (h *Host) sort() {
	sort.Slice(h.Levels, func(i, j int) bool {
		a, b := &h.Levels[i], &h.Levels[j]
		if a.Pipeline != b.Pipeline {
			return a.Pipeline < b.Pipeline
		}
		return a.Workspace < b.Workspace
	})
	sort.Slice(h.Stages, func(i, j int) bool {
		a, b := &h.Stages[i], &h.Stages[j]
		if a.Pipeline != b.Pipeline {
			return a.Pipeline < b.Pipeline
		}
		return a.Stage < b.Stage
	})
}

// Merge adds the reports of several hosts. Buckets are aligned by the time that
// they cover, so reports taken before and after a bucket's end add up correctly.
func Merge(hosts []*Host) *Host {
	sum := &Host{Name: "all hosts"}
	for _, h := range hosts {
		if sum.At.Before(h.At) {
			sum.At = h.At
		}
	}
	levels := map[seriesKey]*Level{}
	stages := map[stageKey]*StageCost{}
	for _, h := range hosts {
		if sum.Since.IsZero() || h.Since.Before(sum.Since) {
			sum.Since = h.Since
		}
		sum.Shared += h.Shared
		for i := range h.Levels {
			mergeLevel(levels, &h.Levels[i], h.At, sum.At)
		}
		for i := range h.Stages {
			mergeStage(stages, &h.Stages[i])
		}
	}
	for _, l := range levels {
		sum.Levels = append(sum.Levels, *l)
	}
	for _, s := range stages {
		sum.Stages = append(sum.Stages, *s)
	}
	sum.sort()
	return sum
}

func mergeLevel(levels map[seriesKey]*Level, from *Level, at, newest time.Time) {
	key := seriesKey{from.Workspace, from.Pipeline}
	to := levels[key]
	if to == nil {
		to = &Level{Workspace: from.Workspace, Pipeline: from.Pipeline, Objective: from.Objective}
		for _, w := range windows {
			to.Windows = append(to.Windows, Window{Length: declaration.Duration(w.length), Buckets: make([]Count, ringBuckets+1)})
		}
		levels[key] = to
	}
	for i, w := range windows {
		if i >= len(from.Windows) || len(from.Windows[i].Buckets) != ringBuckets+1 {
			continue
		}
		behind := newest.UnixNano()/int64(w.bucket()) - at.UnixNano()/int64(w.bucket())
		for n, c := range from.Windows[i].Buckets {
			if index := int64(n) - behind; index >= 0 {
				to.Windows[i].Buckets[index].add(c)
			}
		}
	}
}

func mergeStage(stages map[stageKey]*StageCost, from *StageCost) {
	key := stageKey{from.Pipeline, from.Stage}
	to := stages[key]
	if to == nil {
		copied := *from
		stages[key] = &copied
		return
	}
	to.StageTotal.add(&from.StageTotal)
	a, errA := hdrhistogram.Decode([]byte(to.RanHistogram))
	b, errB := hdrhistogram.Decode([]byte(from.RanHistogram))
	if errA != nil || errB != nil {
		to.RanHistogram = ""
		return
	}
	a.Merge(b)
	to.RanHistogram = encode(a)
}
