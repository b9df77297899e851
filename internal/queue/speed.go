package queue

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Parameters of the observed speeds.
const (
	longTermWeight       = 0.02  // of a sample in the long-term speed, once there are many
	slowedLongTermWeight = 0.002 // while the target is slowed, so that it keeps its past
	maxLogStep           = 0.7   // of one sample from the long-term speed, logarithmic
	recentSamples        = 5     // whose median is the recent speed
	// slowedRatio is the recent speed relative to the past and to the shard
	// below which a target gets fewer slots, trickleRatio that below which it
	// gets one attempt a probePeriod, and not more than one in probeGrants of the
	// board's.
	slowedRatio    = 0.6
	probeOnlyRatio = 0.34
	probePeriod    = time.Second
	grantsPerProbe = 200
	// overdueFactor is how many times its predicted time an attempt must run to
	// count as evidence, and overdueLeast how many attempts of one target.
	overdueFactor = 2.5
	minOverdue    = 3
	// A target gets only probes after failedLimit attempts in a row failed.
	failedLimit = 4
	failedRatio = 0.05
)

// slotState is a target as a board sees it. The board's mutex guards it.
type trackedTarget struct {
	target *declaration.Target
	slots  int
	leases map[string]*lease

	longTermSpeed       float64 // logarithm of the speed, relative to predicted work
	recentSpeed         float64
	lastSamples         [recentSamples]float64
	sampleCount         int
	overdueSpeed        float64 // logarithm of the speed that running attempts show, or 0
	consecutiveFailures int     // attempts that failed since the last that did not
	speedRatio          float64 // recent over past, relative to the shard's median
	// probed and probeGrant are the time and the number of the last probe;
	// relieved says that the last attempt was as fast as the target's past.
	lastProbe      time.Time
	lastProbeGrant int
	recovered      bool
}

// lease is one granted slot.
type lease struct {
	id      string
	owner   string // the entry host, empty for this one
	granted time.Time
	renewed time.Time
	work    float64 // predicted seconds at speed one
	long    bool
	// misjudged says that the attempt was found to be long while it ran.
	reclassified bool
	key          workKey
	target       *trackedTarget
}

// speed is the present speed relative to predicted work.
func (s *trackedTarget) speed() float64 { return math.Exp(s.longTermSpeed) * s.speedRatio }

// observe takes in that work of the predicted size took so many seconds.
func (s *trackedTarget) observe(work, took float64) {
	x := math.Log(work / math.Max(took, minPositive))
	s.lastSamples[s.sampleCount%len(s.lastSamples)] = x
	s.sampleCount++
	if s.sampleCount < len(s.lastSamples) {
		s.longTermSpeed += (x - s.longTermSpeed) / float64(s.sampleCount)
		return
	}
	w := longTermWeight
	if s.speedRatio < slowedRatio {
		w = slowedLongTermWeight
	}
	s.longTermSpeed += w * math.Max(-maxLogStep, math.Min(maxLogStep, x-s.longTermSpeed))
	s.recentSpeed = median(s.lastSamples[:])
	s.recovered = x-s.longTermSpeed > math.Log(slowedRatio)
}

func median(x []float64) float64 {
	sorted := append([]float64(nil), x...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

// lookAtRunning notes the speed that attempts show which run for longer than
// predicted, once they are half of those that run. Work known to be long
// doesn't count: its prediction was wrong, not the target slow.
func (s *trackedTarget) observeRunning(now time.Time) {
	s.overdueSpeed = 0
	var late []float64
	running := 0
	for _, l := range s.leases {
		if l.long {
			continue
		}
		running++
		ran := now.Sub(l.granted).Seconds() * math.Exp(s.longTermSpeed)
		if ran > overdueFactor*l.work {
			late = append(late, math.Log(l.work/ran))
		}
	}
	if len(late) >= minOverdue && 2*len(late) >= running {
		s.overdueSpeed = median(late)
	}
}

// ownRatio is the recent speed relative to the target's own past.
func (s *trackedTarget) ratioToPast() float64 {
	if s.consecutiveFailures >= failedLimit {
		return failedRatio
	}
	if s.sampleCount < len(s.lastSamples) {
		return math.Exp(s.overdueSpeed)
	}
	return math.Exp(math.Min(s.recentSpeed-s.longTermSpeed, s.overdueSpeed))
}

// judge sets the ratio of each target relative to the median of all.
func updateSpeedRatios(targets []*trackedTarget) {
	if len(targets) == 0 {
		return
	}
	ratios := make([]float64, len(targets))
	for i, s := range targets {
		ratios[i] = s.ratioToPast()
	}
	sorted := append([]float64(nil), ratios...)
	sort.Float64s(sorted)
	middle := math.Max(sorted[len(sorted)/2], minPositive)
	for i, s := range targets {
		s.speedRatio = math.Min(1, ratios[i]/middle)
	}
}

// room reports whether s may get one more attempt now. A target that is far
// slower than it was gets only probes.
func (s *trackedTarget) hasCapacity() bool {
	switch {
	case s.speedRatio >= slowedRatio:
		return len(s.leases) < s.slots
	case s.speedRatio >= probeOnlyRatio:
		return len(s.leases) < int(math.Ceil(float64(s.slots)*s.speedRatio))
	default:
		return false
	}
}

// probeDue reports whether one attempt should go to s to see whether it is
// still slow. Probes are a bounded part of the board's grants.
func (s *trackedTarget) probeDue(now time.Time, grants int) bool {
	if s.speedRatio >= probeOnlyRatio || len(s.leases) >= s.slots {
		return false
	}
	return s.recovered || (now.Sub(s.lastProbe) >= probePeriod && grants-s.lastProbeGrant >= grantsPerProbe)
}
