package experiment

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"berylswitch.example/berylswitch/pkg/caller"
)

// Sample is the outcome of one request as its caller saw it.
type Sample struct {
	Request *Request
	OK      bool
	OnTime  bool
	Refused bool // not run
	Took    time.Duration
	Message string // result name and message of the last answer
	Stages  []caller.StageReport
}

// Result is the measured result of one policy under a load.
type Result struct {
	Policy string
	// Requests counts those that arrived after the warm-up, PeakRequests those
	// of them that arrived during the peak.
	Requests, PeakRequests int
	OnTime, PeakOnTime     int
	Refused, Failed        int
	// ShortP50 and ShortP99 are latencies of short pipelines that use an engine,
	// FastP99 that of short pipelines that use none.
	ShortP50, ShortP99 time.Duration
	FastP99            time.Duration
	LongOnTimeShare    float64
	ExtraCost          float64 // cost of retries and hedges, relative to that of other attempts
	StageCosts         []StageCost
	ByWorkspace        map[string]float64 // share of requests on time
	PeakByWorkspace    map[string]float64 // the same for arrivals during the peak
	BaseByWorkspace    map[string]float64 // the same for arrivals before the peak
	OnTimeBySecond     []float64          // share of requests on time, by second of arrival
}

// OnTimeSeries returns the share of requests on time, by second of arrival.
func OnTimeSeries(samples []Sample) []float64 {
	var total, onTime []float64
	for i := range samples {
		if samples[i].Request == nil {
			continue
		}
		s := int(samples[i].Request.At / time.Second)
		for len(total) <= s {
			total, onTime = append(total, 0), append(onTime, 0)
		}
		total[s]++
		if samples[i].OnTime {
			onTime[s]++
		}
	}
	for s := range total {
		onTime[s] /= max(total[s], 1)
	}
	return onTime
}

// StageCost is the time that targets spent on one stage of a pipeline; Extra is
// the part of it that went to retries and hedges.
type StageCost struct {
	Pipeline, Stage string
	Cost, Extra     time.Duration
}

// Measure aggregates the samples of one policy.
func Measure(s *Site, l *Load, policy string, samples []Sample) *Result {
	r := &Result{Policy: policy, ByWorkspace: map[string]float64{}, OnTimeBySecond: OnTimeSeries(samples)}
	r.BaseByWorkspace = onTimeShares(s, samples, l.MeasureFrom, l.PeakFrom-ramp)
	r.PeakByWorkspace = onTimeShares(s, samples, l.PeakFrom, l.PeakTo)
	var short, fast []time.Duration
	long, longOnTime := 0, 0
	total := map[string]int{}
	onTime := map[string]int{}
	costs := map[[2]string]*StageCost{}
	for i := range samples {
		m := &samples[i]
		if m.Request == nil || m.Request.At < l.MeasureFrom {
			continue
		}
		r.count(l, m)
		w := s.Workspaces[m.Request.Workspace].Name
		total[w]++
		if m.OnTime {
			onTime[w]++
		}
		p := &s.Pipelines[m.Request.Pipeline]
		addCosts(costs, p, m)
		switch {
		case p.Long:
			long++
			if m.OnTime {
				longOnTime++
			}
		case !m.OK:
		case usesEngine(s, p):
			short = append(short, m.Took)
		default:
			fast = append(fast, m.Took)
		}
	}
	r.ShortP50, r.ShortP99, r.FastP99 = quantile(short, 0.5), quantile(short, 0.99), quantile(fast, 0.99)
	if long > 0 {
		r.LongOnTimeShare = float64(longOnTime) / float64(long)
	}
	for w, n := range total {
		r.ByWorkspace[w] = float64(onTime[w]) / float64(n)
	}
	r.sumCosts(costs)
	return r
}

// onTimeShares returns the share of requests on time of each workspace, among
// those that arrived between from and to.
func onTimeShares(s *Site, samples []Sample, from, to time.Duration) map[string]float64 {
	total, onTime := map[string]float64{}, map[string]float64{}
	for i := range samples {
		m := &samples[i]
		if m.Request == nil || m.Request.At < from || m.Request.At > to {
			continue
		}
		w := s.Workspaces[m.Request.Workspace].Name
		total[w]++
		if m.OnTime {
			onTime[w]++
		}
	}
	for w := range total {
		onTime[w] /= total[w]
	}
	return onTime
}

func (r *Result) count(l *Load, m *Sample) {
	atPeak := m.Request.At >= l.PeakFrom && m.Request.At <= l.PeakTo
	r.Requests++
	if atPeak {
		r.PeakRequests++
	}
	switch {
	case m.OnTime:
		r.OnTime++
		if atPeak {
			r.PeakOnTime++
		}
	case m.Refused:
		r.Refused++
	default:
		r.Failed++
	}
}

func usesEngine(s *Site, p *PipelineSpec) bool {
	for _, g := range p.Stages {
		if g.Pool == s.EnginePool {
			return true
		}
	}
	return false
}

func addCosts(costs map[[2]string]*StageCost, p *PipelineSpec, m *Sample) {
	for _, g := range m.Stages {
		k := [2]string{p.Name, g.Stage}
		if costs[k] == nil {
			costs[k] = &StageCost{Pipeline: p.Name, Stage: g.Stage}
		}
		costs[k].Cost += g.Cost
		costs[k].Extra += g.Extra
	}
}

func (r *Result) sumCosts(costs map[[2]string]*StageCost) {
	var cost, extra time.Duration
	for _, c := range costs {
		r.StageCosts = append(r.StageCosts, *c)
		cost += c.Cost
		extra += c.Extra
	}
	sort.Slice(r.StageCosts, func(i, j int) bool {
		a, b := &r.StageCosts[i], &r.StageCosts[j]
		return a.Pipeline+" "+a.Stage < b.Pipeline+" "+b.Stage
	})
	if cost > extra {
		r.ExtraCost = float64(extra) / float64(cost-extra)
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// BestBound takes, for each measure, the best of the bound's rules: the most
// answers on time, and the shortest tail latency among the rules whose answers
// on time are within one in a thousand of that.
func BestBound(s *Site, l *Load, requests []Request) *Result {
	var results []*Result
	best := 0
	for _, rule := range boundRules() {
		r := Measure(s, l, "Bound", Bound(s, l, requests, rule))
		results = append(results, r)
		if r.OnTime > results[best].OnTime {
			best = len(results) - 1
		}
	}
	out := *results[best]
	for _, r := range results {
		out.PeakOnTime = max(out.PeakOnTime, r.PeakOnTime)
		if float64(r.OnTime) >= 0.999*float64(out.OnTime) {
			out.ShortP99 = min(out.ShortP99, r.ShortP99)
			out.FastP99 = min(out.FastP99, r.FastP99)
		}
	}
	return &out
}

// Table writes the results as a Markdown table, with ratios to the first result,
// which is the bound.
func Table(w io.Writer, results []*Result) {
	fmt.Fprintln(w, "| policy | requests | on time | peak: on time | of the bound | refused | failed or late | short p50 | short p99 | ratio to the bound | fast p99 | long on time | extra cost | worst workspace |")
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", 14))
	b := results[0]
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %d | %.2f%% | %d of %d | %.1f%% | %d | %d | %s | %s | %.2f | %s | %.1f%% | %.2f%% | %s |\n",
			r.Policy, r.Requests, percent(r.OnTime, r.Requests), r.PeakOnTime, r.PeakRequests, percent(r.PeakOnTime, b.PeakOnTime),
			r.Refused, r.Failed, milliseconds(r.ShortP50), milliseconds(r.ShortP99), float64(r.ShortP99)/float64(b.ShortP99),
			milliseconds(r.FastP99), 100*r.LongOnTimeShare, 100*r.ExtraCost, worstWorkspace(r.ByWorkspace))
	}
}

// CostTable writes the cost of each stage as a Markdown table.
func CostTable(w io.Writer, r *Result) {
	fmt.Fprintln(w, "| pipeline | stage | cost | of that extra |\n| --- | --- | --- | --- |")
	for _, c := range r.StageCosts {
		fmt.Fprintf(w, "| %s | %s | %.1f s | %.2f%% |\n", c.Pipeline, c.Stage, c.Cost.Seconds(), 100*c.Extra.Seconds()/max(c.Cost.Seconds(), 1e-9))
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

func worstWorkspace(m map[string]float64) string {
	name, least := "", 2.0
	for w, v := range m {
		if v < least || (v == least && w < name) {
			name, least = w, v
		}
	}
	return fmt.Sprintf("%s %.1f%%", name, 100*least)
}

// WorkspaceTable writes the share of requests on time of each workspace, before
// and during the peak, as a Markdown table.
func WorkspaceTable(w io.Writer, s *Site, r *Result) {
	fmt.Fprintln(w, "| workspace | on time before the peak | during the peak |\n| --- | --- | --- |")
	for _, x := range s.Workspaces {
		fmt.Fprintf(w, "| %s | %.2f%% | %.2f%% |\n", x.Name, 100*r.BaseByWorkspace[x.Name], 100*r.PeakByWorkspace[x.Name])
	}
}
