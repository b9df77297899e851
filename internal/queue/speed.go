package queue

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Parameters of the observed speeds.
const (
	longTermWeight       = 0.02  // weight of a sample in the long-term speed, once there are many
	slowedLongTermWeight = 0.002 // the same while the target is slowed, so that it keeps its past speed
	maxLogStep           = 0.7   // largest counted distance of a sample from the long-term speed, logarithmic
	recentSamples        = 5     // number of samples whose median is the recent speed
	// Below slowedRatio, the recent speed relative to the target's past and to
	// the shard, a target gets fewer slots. Below probeOnlyRatio it gets only
	// probes: one attempt in each probePeriod, and at most one in grantsPerProbe
	// of the scheduler's grants.
	slowedRatio    = 0.6
	probeOnlyRatio = 0.34
	probePeriod    = time.Second
	grantsPerProbe = 200
	// A running attempt is overdue after overdueFactor times its predicted time.
	// At least minOverdue overdue attempts of one target show that it is slow.
	overdueFactor = 2.5
	minOverdue    = 3
	// A target gets only probes after failedLimit attempts in a row failed; its
	// ratio to its past is then failedRatio.
	failedLimit = 4
	failedRatio = 0.05
)

// trackedTarget is a scheduler's view of a target. The scheduler's mutex guards
// it.
type trackedTarget struct {
	target *declaration.Target
	slots  int
	leases map[string]*lease

	longTermSpeed       float64 // logarithm of the speed relative to predicted work, over many attempts
	recentSpeed         float64 // the same, over the last attempts
	lastSamples         [recentSamples]float64
	sampleCount         int
	overdueSpeed        float64 // logarithm of the speed relative to the past that overdue attempts show, or 0
	consecutiveFailures int     // failed attempts since the last success
	speedRatio          float64 // recent over long-term speed, relative to the shard's median, at most 1
	// lastProbe is the time of the last probe, lastProbeGrant the scheduler's
	// grant count at that time; recovered is true if the last attempt was about as
	// fast as the target's past.
	lastProbe      time.Time
	lastProbeGrant int
	recovered      bool
}

// lease is one granted slot.
type lease struct {
	id      string
	owner   string // the entry host, empty for this host
	granted time.Time
	renewed time.Time
	work    float64 // predicted seconds at speed one
	long    bool
	// reclassified is true if the attempt was found to be long while it ran.
	reclassified bool
	key          workKey
	target       *trackedTarget
}

// speed returns the present speed relative to predicted work.
func (s *trackedTarget) speed() float64 { return math.Exp(s.longTermSpeed) * s.speedRatio }

// observe records that an attempt with the predicted work took so many seconds.
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

// observeRunning updates overdueSpeed from the overdue attempts, if they are at
// least half of those that run. Work known to be long does not count: its
// prediction was wrong, the target is not slow.
func (s *trackedTarget) observeRunning(now time.Time) {
	s.overdueSpeed = 0
	var overdue []float64
	running := 0
	for _, l := range s.leases {
		if l.long {
			continue
		}
		running++
		ran := now.Sub(l.granted).Seconds() * math.Exp(s.longTermSpeed)
		if ran > overdueFactor*l.work {
			overdue = append(overdue, math.Log(l.work/ran))
		}
	}
	if len(overdue) >= minOverdue && 2*len(overdue) >= running {
		s.overdueSpeed = median(overdue)
	}
}

// ratioToPast returns the recent speed relative to the target's own past.
func (s *trackedTarget) ratioToPast() float64 {
	if s.consecutiveFailures >= failedLimit {
		return failedRatio
	}
	if s.sampleCount < len(s.lastSamples) {
		return math.Exp(s.overdueSpeed)
	}
	return math.Exp(math.Min(s.recentSpeed-s.longTermSpeed, s.overdueSpeed))
}

// updateSpeedRatios sets the speed ratio of each target relative to the median of
// all.
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

// hasCapacity reports whether s may get one more attempt now, other than a probe.
// A target that is far slower than it was gets only probes.
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

// probeDue reports whether an attempt should be sent to s to test whether it is
// still slow. Probes are a bounded part of the scheduler's grants.
func (s *trackedTarget) probeDue(now time.Time, grants int) bool {
	if s.speedRatio >= probeOnlyRatio || len(s.leases) >= s.slots {
		return false
	}
	return s.recovered || (now.Sub(s.lastProbe) >= probePeriod && grants-s.lastProbeGrant >= grantsPerProbe)
}
