package report

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Alert is the severity of a level's burn rate.
type Alert string

// The alerts. Each requires its burn rate over both a long and a short window,
// so that it neither fires on a short spike nor stays on long after the end.
const (
	// NoAlert is a burn rate that stays within the budget.
	NoAlert Alert = "None"
	// Ticket is a burn rate that spends the budget by the end of its period.
	Ticket Alert = "Ticket"
	// SlowPage is one that spends a tenth of a 30-day budget in three hours at
	// most.
	SlowPage Alert = "SlowPage"
	// FastPage is one that spends a fiftieth of a 30-day budget in an hour.
	FastPage Alert = "FastPage"
)

// Burn rates at which the alerts fire. Under a low objective even a complete
// failure has a low burn rate, so a page fires at a share of that rate if this is
// less.
const (
	ticketBurn    = 1.0
	slowPageBurn  = 6.0
	slowPageShare = 0.5
	fastPageBurn  = 14.4
	fastPageShare = 0.8
)

// Indexes into windows.
const (
	fiveMinutes = iota
	oneHour
	sixHours
	threeDays
)

// Summary is a report of service levels and stage costs over several hosts.
type Summary struct {
	At     time.Time
	Since  time.Time
	Hosts  []string
	Silent []string `json:",omitempty"`
	// Levels are sorted by burn rate over an hour, highest first.
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
	// BudgetLeft is the remaining share of the three-day error budget; it is
	// negative if the budget is overspent.
	BudgetLeft float64
	Windows    []WindowSummary
	// Points are the buckets of the one-hour window, oldest first.
	Points []Count
}

// WindowSummary is the service level over one window.
type WindowSummary struct {
	Length declaration.Duration
	Count
	// Attained is the share of requests that were answered in time; it is one if
	// there were no requests.
	Attained float64
	// Burn is the rate at which the error budget is spent; at a rate of one the
	// budget lasts exactly for its period.
	Burn float64
}

// StageSummary is the cost of a stage. Fields that begin with Each are means per
// request.
type StageSummary struct {
	Pipeline string
	Stage    string
	StageTotal
	EachCost   time.Duration
	EachQueued time.Duration
	// RanP50 and RanP99 are quantiles of the stage's run time.
	RanP50 time.Duration
	RanP99 time.Duration
	// CostShare is the stage's share of the cost of its pipeline.
	CostShare float64
}

// Summarize merges the reports of hosts. silent lists the hosts without a
// report.
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

// fullBurn returns the burn rate when every request fails.
func (l *Level) fullBurn() float64 { return math.Round(burnPrecision/(1-l.Objective)) / burnPrecision }

// burnPrecision is the inverse of the step to which burn rates are rounded, to
// remove rounding errors of the objective.
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

// Quantiles of a stage's run time, in percent.
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
