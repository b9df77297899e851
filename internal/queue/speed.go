package queue

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Parameters of the observed speeds.
const (
	pastWeight     = 0.02  // of a sample in the long-term speed, once there are many
	slowPastWeight = 0.002 // while the target is slowed, so that it keeps its past
	maxStep        = 0.7   // of one sample from the long-term speed, logarithmic
	recentSamples  = 5     // whose median is the recent speed
	// slowedRatio is the recent speed relative to the past and to the shard
	// below which a target gets fewer slots, trickleRatio that below which it
	// gets one attempt a probePeriod, and not more than one in probeGrants of the
	// board's.
	slowedRatio  = 0.6
	trickleRatio = 0.34
	probePeriod  = time.Second
	probeGrants  = 200
	// overdueFactor is how many times its predicted time an attempt must run to
	// count as evidence, and overdueLeast how many attempts of one target.
	overdueFactor = 2.5
	overdueLeast  = 3
	// A target gets only probes after failedLimit attempts in a row failed.
	failedLimit = 4
	failedRatio = 0.05
)

// slotState is a target as a board sees it. The board's mutex guards it.
type slotState struct {
	target *declaration.Target
	slots  int
	leases map[string]*lease

	past    float64 // logarithm of the speed, relative to predicted work
	recent  float64
	last    [recentSamples]float64
	samples int
	overdue float64 // logarithm of the speed that running attempts show, or 0
	failed  int     // attempts that failed since the last that did not
	ratio   float64 // recent over past, relative to the shard's median
	// probed and probeGrant are the time and the number of the last probe;
	// relieved says that the last attempt was as fast as the target's past.
	probed     time.Time
	probeGrant int
	relieved   bool
}

// lease is one granted slot.
type lease struct {
	id      string
	owner   string // the entry host, empty for this one
	at      time.Time
	renewed time.Time
	work    float64 // predicted seconds at speed one
	long    bool
	// misjudged says that the attempt was found to be long while it ran.
	misjudged bool
	key       workKey
	target    *slotState
}

// speed is the present speed relative to predicted work.
func (s *slotState) speed() float64 { return math.Exp(s.past) * s.ratio }

// observe takes in that work of the predicted size took so many seconds.
func (s *slotState) observe(work, took float64) {
	x := math.Log(work / math.Max(took, minSample))
	s.last[s.samples%len(s.last)] = x
	s.samples++
	if s.samples < len(s.last) {
		s.past += (x - s.past) / float64(s.samples)
		return
	}
	w := pastWeight
	if s.ratio < slowedRatio {
		w = slowPastWeight
	}
	s.past += w * math.Max(-maxStep, math.Min(maxStep, x-s.past))
	s.recent = median(s.last[:])
	s.relieved = x-s.past > math.Log(slowedRatio)
}

func median(x []float64) float64 {
	sorted := append([]float64(nil), x...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

// lookAtRunning notes the speed that attempts show which run for longer than
// predicted, once they are half of those that run. Work known to be long
// doesn't count: its prediction was wrong, not the target slow.
func (s *slotState) lookAtRunning(now time.Time) {
	s.overdue = 0
	var late []float64
	running := 0
	for _, l := range s.leases {
		if l.long {
			continue
		}
		running++
		ran := now.Sub(l.at).Seconds() * math.Exp(s.past)
		if ran > overdueFactor*l.work {
			late = append(late, math.Log(l.work/ran))
		}
	}
	if len(late) >= overdueLeast && 2*len(late) >= running {
		s.overdue = median(late)
	}
}

// ownRatio is the recent speed relative to the target's own past.
func (s *slotState) ownRatio() float64 {
	if s.failed >= failedLimit {
		return failedRatio
	}
	if s.samples < len(s.last) {
		return math.Exp(s.overdue)
	}
	return math.Exp(math.Min(s.recent-s.past, s.overdue))
}

// judge sets the ratio of each target relative to the median of all.
func judge(targets []*slotState) {
	if len(targets) == 0 {
		return
	}
	ratios := make([]float64, len(targets))
	for i, s := range targets {
		ratios[i] = s.ownRatio()
	}
	sorted := append([]float64(nil), ratios...)
	sort.Float64s(sorted)
	middle := math.Max(sorted[len(sorted)/2], minSample)
	for i, s := range targets {
		s.ratio = math.Min(1, ratios[i]/middle)
	}
}

// room reports whether s may get one more attempt now. A target that is far
// slower than it was gets only probes.
func (s *slotState) room() bool {
	switch {
	case s.ratio >= slowedRatio:
		return len(s.leases) < s.slots
	case s.ratio >= trickleRatio:
		return len(s.leases) < int(math.Ceil(float64(s.slots)*s.ratio))
	default:
		return false
	}
}

// probeDue reports whether one attempt should go to s to see whether it is
// still slow. Probes are a bounded part of the board's grants.
func (s *slotState) probeDue(now time.Time, grants int) bool {
	if s.ratio >= trickleRatio || len(s.leases) >= s.slots {
		return false
	}
	return s.relieved || (now.Sub(s.probed) >= probePeriod && grants-s.probeGrant >= probeGrants)
}
