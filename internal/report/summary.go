package report

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Alert says how urgent the burn of a level is.
type Alert string

// The alerts. Each asks for the same burn over a long and a short window, so
// that it neither fires on a moment nor stays long after the end.
const (
	// NoAlert is a burn that the budget bears.
	NoAlert Alert = "None"
	// Ticket would spend the budget by the end of its period.
	Ticket Alert = "Ticket"
	// SlowPage would spend a tenth of a 30-day budget in three hours at most.
	SlowPage Alert = "SlowPage"
	// FastPage would spend a fiftieth of a 30-day budget in an hour.
	FastPage Alert = "FastPage"
)

// Burn rates from which the alerts fire. Under a low objective even a complete
// failure burns slowly, so a page fires from a share of that burn if it is less.
const (
	ticketBurn    = 1.0
	slowPageBurn  = 6.0
	slowPageShare = 0.5
	fastPageBurn  = 14.4
	fastPageShare = 0.8
)

// Places of the windows in the list of windows.
const (
	fiveMinutes = iota
	oneHour
	sixHours
	threeDays
)

// Summary is a report in the terms of service levels.
type Summary struct {
	At     time.Time
	Since  time.Time
	Hosts  []string
	Silent []string `json:",omitempty"`
	// Levels are sorted with the highest burn over an hour first.
	Levels []LevelSummary
	Stages []StageSummary
	Shared int64 `json:",omitempty"`
}

// LevelSummary is the service level of a workspace at a pipeline.
type LevelSummary struct {
	Workspace string
	Pipeline  string
	Objective float64
	Alert     Alert
	// BudgetLeft is the share of the three-day error budget that is left;
	// negative when more was spent.
	BudgetLeft float64
	Windows    []WindowSummary
	// Points are the buckets of the hour's window, oldest first.
	Points []Count
}

// WindowSummary is the service level over one window.
type WindowSummary struct {
	Length declaration.Duration
	Count
	// Attained is the share of requests that were answered in time; one without
	// requests.
	Attained float64
	// Burn is the rate at which the error budget is spent; at one it lasts just
	// for its period.
	Burn float64
}

// StageSummary is the cost of a stage. Each is the mean for a request.
type StageSummary struct {
	Pipeline string
	Stage    string
	StageTotal
	EachCost   time.Duration
	EachQueued time.Duration
	// RanP50 and RanP99 are quantiles of the time that the stage ran.
	RanP50 time.Duration
	RanP99 time.Duration
	// CostShare is the stage's share of the cost of its pipeline.
	CostShare float64
}

// Summarize merges the reports of hosts; silent names those that gave none.
func Summarize(hosts []*Host, silent []string) *Summary {
	sum := Merge(hosts)
	s := &Summary{At: sum.At, Since: sum.Since, Silent: silent, Shared: sum.Shared}
	for _, h := range hosts {
		s.Hosts = append(s.Hosts, h.Name)
	}
	for i := range sum.Levels {
		s.Levels = append(s.Levels, sum.Levels[i].summary())
	}
	sort.SliceStable(s.Levels, func(i, j int) bool {
		return s.Levels[i].Windows[oneHour].Burn > s.Levels[j].Windows[oneHour].Burn
	})
	costs := map[string]time.Duration{}
	for i := range sum.Stages {
		costs[sum.Stages[i].Pipeline] += sum.Stages[i].Cost
	}
	for i := range sum.Stages {
		s.Stages = append(s.Stages, sum.Stages[i].summary(costs[sum.Stages[i].Pipeline]))
	}
	return s
}

func (l *Level) summary() LevelSummary {
	s := LevelSummary{Workspace: l.Workspace, Pipeline: l.Pipeline, Objective: l.Objective}
	for i := range l.Windows {
		w := WindowSummary{Length: l.Windows[i].Length, Count: l.Windows[i].Sum(), Attained: 1}
		if w.Total > 0 {
			w.Attained = float64(w.Good) / float64(w.Total)
			w.Burn = float64(w.Bad()) / float64(w.Total) * l.fullBurn()
		}
		s.Windows = append(s.Windows, w)
	}
	s.Points = l.Windows[oneHour].Buckets
	s.BudgetLeft = 1 - s.Windows[threeDays].Burn
	s.Alert = alert(s.Windows, l.fullBurn())
	return s
}

// fullBurn is the burn when every request fails.
func (l *Level) fullBurn() float64 { return math.Round(burnPrecision/(1-l.Objective)) / burnPrecision }

// burnDigits keeps rounding errors of the objective out of burn rates.
const burnPrecision = 1e6

func alert(w []WindowSummary, fullBurn float64) Alert {
	both := func(long, short int, burn float64) bool { return w[long].Burn >= burn && w[short].Burn >= burn }
	switch {
	case both(oneHour, fiveMinutes, min(fastPageBurn, fastPageShare*fullBurn)):
		return FastPage
	case both(sixHours, oneHour, min(slowPageBurn, slowPageShare*fullBurn)):
		return SlowPage
	case both(threeDays, sixHours, ticketBurn):
		return Ticket
	default:
		return NoAlert
	}
}

// Quantiles of the time that a stage ran.
const (
	medianPercent = 50
	tailPercent   = 99
)

func (c *StageCost) summary(ofPipeline time.Duration) StageSummary {
	s := StageSummary{Pipeline: c.Pipeline, Stage: c.Stage, StageTotal: c.StageTotal}
	s.EachCost, s.EachQueued = c.perRequest(c.Cost), c.perRequest(c.Queued)
	if ofPipeline > 0 {
		s.CostShare = float64(c.Cost) / float64(ofPipeline)
	}
	if ran, err := hdrhistogram.Decode([]byte(c.RanHistogram)); err == nil {
		s.RanP50 = time.Duration(ran.ValueAtQuantile(medianPercent)) * time.Microsecond
		s.RanP99 = time.Duration(ran.ValueAtQuantile(tailPercent)) * time.Microsecond
	}
	return s
}
