package experiment

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"berylswitch.example/berylswitch/pkg/caller"
)

// Sample is the end of one request as its caller saw it.
type Sample struct {
	Request *Request
	OK      bool
	OnTime  bool
	Refused bool // not run
	Took    time.Duration
	Message string // of an answer that isn't OK
	Stages  []caller.StageReport
}

// Result is what one policy made of a load.
type Result struct {
	Policy string
	// Requests arrived after the warm-up, CrestRequests during the crest.
	Requests, CrestRequests int
	OnTime, CrestOnTime     int
	Refused, Failed         int
	ShortP50, ShortP99      time.Duration
	// FastP99 is of the short pipelines that use no engine.
	FastP99     time.Duration
	LongOnTime  float64
	Extra       float64 // cost of extra attempts relative to the rest
	Cost        []StageCost
	ByWorkspace map[string]float64 // share on time
}

// StageCost is the time that targets spent on one stage of a pipeline.
type StageCost struct {
	Pipeline, Stage string
	Cost, Extra     time.Duration
}

// Measure sums up the samples of one policy.
func Measure(s *Site, l *Load, policy string, samples []Sample) *Result {
	r := &Result{Policy: policy, ByWorkspace: map[string]float64{}}
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
		r.LongOnTime = float64(longOnTime) / float64(long)
	}
	for w, n := range total {
		r.ByWorkspace[w] = float64(onTime[w]) / float64(n)
	}
	r.sumCosts(costs)
	return r
}

func (r *Result) count(l *Load, m *Sample) {
	crest := m.Request.At >= l.CrestFrom && m.Request.At <= l.CrestTo
	r.Requests++
	if crest {
		r.CrestRequests++
	}
	switch {
	case m.OnTime:
		r.OnTime++
		if crest {
			r.CrestOnTime++
		}
	case m.Refused:
		r.Refused++
	default:
		r.Failed++
	}
}

func usesEngine(s *Site, p *PipelineSite) bool {
	for _, g := range p.Stages {
		if g.Pool == s.Engine {
			return true
		}
	}
	return false
}

func addCosts(costs map[[2]string]*StageCost, p *PipelineSite, m *Sample) {
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
		r.Cost = append(r.Cost, *c)
		cost += c.Cost
		extra += c.Extra
	}
	sort.Slice(r.Cost, func(i, j int) bool {
		a, b := &r.Cost[i], &r.Cost[j]
		return a.Pipeline+" "+a.Stage < b.Pipeline+" "+b.Stage
	})
	if cost > extra {
		r.Extra = float64(extra) / float64(cost-extra)
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
// answers on time, and the shortest tail among the rules that come within one
// in a thousand of that.
func BestBound(s *Site, l *Load, requests []Request) *Result {
	var results []*Result
	best := 0
	for _, rule := range rules() {
		r := Measure(s, l, "Bound", Bound(s, l, requests, rule))
		results = append(results, r)
		if r.OnTime > results[best].OnTime {
			best = len(results) - 1
		}
	}
	out := *results[best]
	for _, r := range results {
		out.CrestOnTime = max(out.CrestOnTime, r.CrestOnTime)
		if float64(r.OnTime) >= 0.999*float64(out.OnTime) {
			out.ShortP99 = min(out.ShortP99, r.ShortP99)
			out.FastP99 = min(out.FastP99, r.FastP99)
		}
	}
	return &out
}

// Table writes the results as a Markdown table, with ratios to the first row.
func Table(w io.Writer, results []*Result) {
	fmt.Fprintln(w, "| policy | requests | on time | crest: on time | of the bound | refused | failed or late | short p50 | short p99 | of the bound | fast p99 | long on time | extra cost | worst workspace |")
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", 14))
	b := results[0]
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %d | %.2f%% | %d of %d | %.1f%% | %d | %d | %s | %s | %.2f | %s | %.1f%% | %.2f%% | %s |\n",
			r.Policy, r.Requests, percent(r.OnTime, r.Requests), r.CrestOnTime, r.CrestRequests, percent(r.CrestOnTime, b.CrestOnTime),
			r.Refused, r.Failed, milliseconds(r.ShortP50), milliseconds(r.ShortP99), float64(r.ShortP99)/float64(b.ShortP99),
			milliseconds(r.FastP99), 100*r.LongOnTime, 100*r.Extra, worst(r.ByWorkspace))
	}
}

// CostTable writes the cost by stage.
func CostTable(w io.Writer, r *Result) {
	fmt.Fprintln(w, "| pipeline | stage | cost | of that extra |\n| --- | --- | --- | --- |")
	for _, c := range r.Cost {
		fmt.Fprintf(w, "| %s | %s | %.1f s | %.2f%% |\n", c.Pipeline, c.Stage, c.Cost.Seconds(), 100*c.Extra.Seconds()/max(c.Cost.Seconds(), 1e-9))
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

func worst(m map[string]float64) string {
	name, least := "", 2.0
	for w, v := range m {
		if v < least || (v == least && w < name) {
			name, least = w, v
		}
	}
	return fmt.Sprintf("%s %.1f%%", name, 100*least)
}
