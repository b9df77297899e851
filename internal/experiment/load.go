package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Load is the arrivals and faults of one experiment. Times count from the
// first arrival.
type Load struct {
	Name string
	Seed uint64
	// Base and Crest are rates of arrival relative to the engines' capacity.
	Base, Crest float64
	// CrestFrom and CrestTo bound the crest; the rate takes ramp to get there.
	CrestFrom, CrestTo time.Duration
	End                time.Duration
	// MeasureFrom is when the measurement starts: the hosts learn before.
	MeasureFrom time.Duration
	// Skew gives one host a third of the callers.
	Skew bool
	// NoLong leaves the long pipelines out, at the same rate of short work.
	NoLong bool
	// Slowdowns of targets.
	Slowdowns []Slowdown
	// Flood multiplies the arrivals of a workspace during the crest.
	Flood       string
	FloodFactor float64
	// Misjudged is the share of long jobs whose size doesn't show.
	Misjudged float64
	// Events happen to hosts.
	Events []Event
	// Repeat makes callers repeat what was refused, up to so many times.
	Repeat int
}

// Slowdown makes a target take Factor times as long for a while.
type Slowdown struct {
	Target   string
	Factor   float64
	From, To time.Duration
}

// Event is something that happens to a host.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Pool names the shard whose holder it happens to; with Pool empty it
	// happens to Host.
	Pool string
	Host string
}

// EventKind names an event.
type EventKind string

// The kinds of events.
const (
	KillHost   EventKind = "Kill"
	FreezeHost EventKind = "Freeze"
	ThawHost   EventKind = "Thaw"
	CutHost    EventKind = "Cut" // from its peers only
	HealHost   EventKind = "Heal"
)

// ramp is the time in which the rate swings.
const ramp = time.Second

// Request is one arrival.
type Request struct {
	At        time.Duration
	Host      int
	Workspace int
	Pipeline  int
	Bytes     int
	// Service is the time of each stage at speed one.
	Service []time.Duration
}

// Shapes of the work.
const (
	sizeSpread    = 0.5  // of the logarithm of the prompts' sizes
	serviceSpread = 0.25 // of the logarithm of the service times of one size
	sizePower     = 0.7  // service grows with size to this power
	medianBytes   = 120
	longBytes     = 2500
)

// meanWork is the mean engine time of a request, in seconds at speed one.
func (s *Site) meanWork() float64 {
	spread := math.Exp((sizePower*sizePower*sizeSpread*sizeSpread + serviceSpread*serviceSpread) / 2)
	longSpread := math.Exp(serviceSpread * serviceSpread / 2)
	sum, weights := 0.0, 0.0
	for _, p := range s.Pipelines {
		weights += p.Weight
		for _, g := range p.Stages {
			if g.Pool != s.Engine {
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

// capacity is the rate of requests that the engines can serve for ever.
func (s *Site) capacity() float64 {
	sum := 0.0
	for _, t := range s.Targets {
		if t.Pool == s.Engine {
			sum += float64(t.Slots) * t.Speed
		}
	}
	return sum / s.meanWork()
}

// rate is the relative rate at a time.
func (l *Load) rate(at time.Duration) float64 {
	part := 0.0
	switch {
	case at < l.CrestFrom-ramp || at > l.CrestTo+ramp:
	case at < l.CrestFrom:
		part = 1 - (l.CrestFrom-at).Seconds()/ramp.Seconds()
	case at <= l.CrestTo:
		part = 1
	default:
		part = 1 - (at-l.CrestTo).Seconds()/ramp.Seconds()
	}
	return l.Base + (l.Crest-l.Base)*part
}

// Requests draws the arrivals: open loop, Poisson at the changing rate. The
// same seed gives the same arrivals.
func (l *Load) Requests(s *Site) []Request {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	top := s.capacity() * max(l.Base, l.Crest)
	var out []Request
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / top * float64(time.Second))
		if at >= l.End {
			return l.flood(s, out)
		}
		if r.Float64() > l.rate(at)/max(l.Base, l.Crest) {
			continue
		}
		q := l.draw(s, r, at)
		if l.NoLong && s.Pipelines[q.Pipeline].Long {
			continue
		}
		out = append(out, q)
	}
}

func (l *Load) draw(s *Site, r *rand.Rand, at time.Duration) Request {
	q := Request{At: at}
	q.Host = pick(r, len(s.Hosts), func(i int) float64 { return s.Hosts[i].Weight })
	q.Workspace = pick(r, len(s.Workspaces), func(i int) float64 { return s.Workspaces[i].Weight })
	q.Pipeline = pick(r, len(s.Pipelines), func(i int) float64 { return s.Pipelines[i].Weight })
	p := &s.Pipelines[q.Pipeline]
	size := math.Exp(sizeSpread * r.NormFloat64())
	q.Bytes = int(medianBytes * size)
	if p.Long && r.Float64() >= l.Misjudged {
		q.Bytes = int(longBytes * size)
	}
	for _, g := range p.Stages {
		f := math.Exp(serviceSpread * r.NormFloat64())
		if g.Pool == s.Engine && !p.Long {
			f *= math.Pow(size, sizePower)
		}
		q.Service = append(q.Service, time.Duration(f*float64(g.Median)))
	}
	return q
}

func pick(r *rand.Rand, n int, weight func(int) float64) int {
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

// flood adds the extra arrivals of the flooding workspace during the crest.
func (l *Load) flood(s *Site, out []Request) []Request {
	if l.Flood == "" {
		return out
	}
	r := rand.New(rand.NewPCG(l.Seed, 2))
	extra := out
	for _, q := range out {
		if s.Workspaces[q.Workspace].Name != l.Flood || q.At < l.CrestFrom || q.At > l.CrestTo {
			continue
		}
		for range int(l.FloodFactor) - 1 {
			at := l.CrestFrom + time.Duration(r.Float64()*float64(l.CrestTo-l.CrestFrom))
			more := l.draw(s, r, at)
			more.Workspace, more.Pipeline = q.Workspace, 0
			more.Service = l.drawShort(s, r)
			extra = append(extra, more)
		}
	}
	sort.SliceStable(extra, func(i, j int) bool { return extra[i].At < extra[j].At })
	return extra
}

func (l *Load) drawShort(s *Site, r *rand.Rand) []time.Duration {
	var out []time.Duration
	for _, g := range s.Pipelines[0].Stages {
		out = append(out, time.Duration(math.Exp(serviceSpread*r.NormFloat64())*float64(g.Median)))
	}
	return out
}

// slowdown is the factor by which a target is slowed at a time.
func (l *Load) slowdown(target string, at time.Duration) float64 {
	for _, d := range l.Slowdowns {
		if d.Target == target && at >= d.From && at < d.To {
			return d.Factor
		}
	}
	return 1
}
