package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Load is the arrivals and faults of one experiment. Times are relative to the
// start of the arrivals.
type Load struct {
	Name string
	Seed uint64
	// BaseRate and PeakRate are arrival rates relative to the engines' capacity.
	BaseRate, PeakRate float64
	// PeakFrom and PeakTo delimit the peak; the rate changes over the time ramp
	// before and after it.
	PeakFrom, PeakTo time.Duration
	End              time.Duration
	// MeasureFrom is when the measurement starts; before it, the hosts learn.
	MeasureFrom time.Duration
	// Skew sends a third of the callers to one host.
	Skew bool
	// NoLong leaves out the long pipelines and keeps the rate of short work.
	NoLong bool
	// Slowdowns of targets.
	Slowdowns []Slowdown
	// FloodWorkspace names a workspace whose arrivals are multiplied by
	// FloodFactor during the peak; "last" is the last of the site.
	FloodWorkspace string
	FloodFactor    float64
	// HiddenLongShare is the share of long jobs whose prompts are as short as
	// those of short jobs, so that their size does not reveal them.
	HiddenLongShare float64
	// Events are faults of hosts and of the links between them.
	Events []Event
	// MaxRetries is how often a caller retries a request that did not succeed.
	MaxRetries int
}

// Slowdown makes a target take Factor times as long between From and To.
type Slowdown struct {
	Target   string
	Factor   float64
	From, To time.Duration
}

// Event is the beginning or end of a fault of hosts or links.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Pool selects the holder of the pool's first shard; if it is empty, Host
	// names the host.
	Pool string
	Host string
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	KillHost       EventKind = "Kill"
	FreezeHost     EventKind = "Freeze"
	ThawHost       EventKind = "Thaw"
	CutHost        EventKind = "Cut" // cuts the links to its peers only
	HealHost       EventKind = "Heal"
	PartitionHosts EventKind = "Part" // separates every second host from the others
	HealPartition  EventKind = "Join"
)

// ramp is the time that the rate takes to rise or fall.
const ramp = time.Second

// Request is one arrival.
type Request struct {
	At        time.Duration
	Host      int
	Workspace int
	Pipeline  int
	Bytes     int
	// Service is the service time of each stage at speed one.
	Service []time.Duration
}

// Distribution of the work; sizes and service times are log-normal.
const (
	sizeSigma         = 0.5  // standard deviation of the logarithm of prompt sizes
	serviceSigma      = 0.25 // standard deviation of the logarithm of service times at one size
	sizeExponent      = 0.7  // service time grows with size to this power
	medianPromptBytes = 120
	longPromptBytes   = 2500
)

// meanEngineTime is the mean engine time of a request, in seconds at speed one.
func (s *Site) meanEngineTime() float64 {
	spread := math.Exp((sizeExponent*sizeExponent*sizeSigma*sizeSigma + serviceSigma*serviceSigma) / 2)
	longSpread := math.Exp(serviceSigma * serviceSigma / 2)
	sum, weights := 0.0, 0.0
	for _, p := range s.Pipelines {
		weights += p.Weight
		for _, g := range p.Stages {
			if g.Pool != s.EnginePool {
				continue
			}
			if p.Long {
				sum += p.Weight * g.Median.Seconds() * longSpread
			} else {
				sum += p.Weight * g.Median.Seconds() * spread
			}
		}
	}
	return sum / weights
}

// capacity is the rate of requests per second that the engines can sustain.
func (s *Site) capacity() float64 {
	sum := 0.0
	for _, t := range s.Targets {
		if t.Pool == s.EnginePool {
			sum += float64(t.Slots) * t.Speed
		}
	}
	return sum / s.meanEngineTime()
}

// relativeRate is the arrival rate at a time, relative to the capacity.
func (l *Load) relativeRate(at time.Duration) float64 {
	part := 0.0
	switch {
	case at < l.PeakFrom-ramp || at > l.PeakTo+ramp:
	case at < l.PeakFrom:
		part = 1 - (l.PeakFrom-at).Seconds()/ramp.Seconds()
	case at <= l.PeakTo:
		part = 1
	default:
		part = 1 - (at-l.PeakTo).Seconds()/ramp.Seconds()
	}
	return l.BaseRate + (l.PeakRate-l.BaseRate)*part
}

// Requests draws the arrivals of an open loop, a Poisson process whose rate
// changes over time. The same seed gives the same arrivals.
func (l *Load) Requests(s *Site) []Request {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	top := s.capacity() * max(l.BaseRate, l.PeakRate)
	var out []Request
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / top * float64(time.Second))
		if at >= l.End {
			return l.addFlood(s, out)
		}
		if r.Float64() > l.relativeRate(at)/max(l.BaseRate, l.PeakRate) {
			continue
		}
		q := l.drawRequest(s, r, at)
		if l.NoLong && s.Pipelines[q.Pipeline].Long {
			continue
		}
		out = append(out, q)
	}
}

func (l *Load) drawRequest(s *Site, r *rand.Rand, at time.Duration) Request {
	q := Request{At: at}
	q.Host = pickWeighted(r, len(s.Hosts), func(i int) float64 { return s.Hosts[i].Weight })
	q.Workspace = pickWeighted(r, len(s.Workspaces), func(i int) float64 { return s.Workspaces[i].Weight })
	q.Pipeline = pickWeighted(r, len(s.Pipelines), func(i int) float64 { return s.Pipelines[i].Weight })
	p := &s.Pipelines[q.Pipeline]
	size := math.Exp(sizeSigma * r.NormFloat64())
	q.Bytes = int(medianPromptBytes * size)
	if p.Long && r.Float64() >= l.HiddenLongShare {
		q.Bytes = int(longPromptBytes * size)
	}
	for _, g := range p.Stages {
		f := math.Exp(serviceSigma * r.NormFloat64())
		if g.Pool == s.EnginePool && !p.Long {
			f *= math.Pow(size, sizeExponent)
		}
		q.Service = append(q.Service, time.Duration(f*float64(g.Median)))
	}
	return q
}

// pickWeighted returns an index below n, drawn in proportion to weight.
func pickWeighted(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// addFlood adds the extra arrivals of the flooding workspace during the peak.
func (l *Load) addFlood(s *Site, out []Request) []Request {
	if l.FloodWorkspace == "" {
		return out
	}
	r := rand.New(rand.NewPCG(l.Seed, 2))
	extra := out
	flooding := s.workspaceIndex(l.FloodWorkspace)
	for _, q := range out {
		if q.Workspace != flooding || q.At < l.PeakFrom || q.At > l.PeakTo {
			continue
		}
		for range int(l.FloodFactor) - 1 {
			at := l.PeakFrom + time.Duration(r.Float64()*float64(l.PeakTo-l.PeakFrom))
			more := l.drawRequest(s, r, at)
			more.Workspace, more.Pipeline = q.Workspace, 0
			more.Service = l.drawShortService(s, r)
			extra = append(extra, more)
		}
	}
	sort.SliceStable(extra, func(i, j int) bool { return extra[i].At < extra[j].At })
	return extra
}

// workspaceIndex is the index of the workspace called name, or of the last
// workspace if there is none.
func (s *Site) workspaceIndex(name string) int {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return i
		}
	}
	return len(s.Workspaces) - 1
}

func (l *Load) drawShortService(s *Site, r *rand.Rand) []time.Duration {
	var out []time.Duration
	for _, g := range s.Pipelines[0].Stages {
		out = append(out, time.Duration(math.Exp(serviceSigma*r.NormFloat64())*float64(g.Median)))
	}
	return out
}

// slowdown is the factor by which a target is slowed at a time; one is full
// speed.
func (l *Load) slowdown(target string, at time.Duration) float64 {
	for _, d := range l.Slowdowns {
		if d.Target == target && at >= d.From && at < d.To {
			return d.Factor
		}
	}
	return 1
}
