package placement

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
)

// Weights and times of the choice.
const (
	// baseWork is the work of a request besides its prompt, in tokens.
	baseWork = 2000
	// firstPace is the pace before anything was seen, in seconds a token.
	firstPace = 30e-6
	// paceWeight is the weight of the newest sample in a target's pace, meanWeight
	// that in the mean pace of all; maxPace bounds a sample, in mean paces.
	paceWeight = 0.3
	meanWeight = 0.02
	maxPace    = 30
	// paceLife is the time over which a pace turns back into the mean.
	paceLife = 4 * time.Second
	// moveTime is what a target counts as slower that lies in another domain than
	// large inputs.
	moveTime = 80 * time.Millisecond
	// readShare is how many times the time to read shared tokens again by which a
	// target without them counts as slower still, since others pay for it too.
	readShare = 2
	// hashShare is the part by which the order of rendezvous hashing tells between
	// targets that are alike.
	hashShare = 0.15
	// fullTime is what a target without a free slot counts as slower.
	fullTime = 500 * time.Millisecond
	// faultWeight is the weight of the newest outcome in the share of failures,
	// faultLife the time over which that is forgotten. A target that fails all
	// requests counts as 1 + faultCost times as slow.
	faultWeight = 0.3
	faultCost   = 8
	faultLife   = 2 * time.Second
	// rejectPause is how long a target that had no place is passed over.
	rejectPause = 60 * time.Millisecond
	// hostLife is the silence after which a host's requests no longer count.
	hostLife = 1500 * time.Millisecond
	// partLife is how long a target is believed to have a part of a prompt, and
	// maxParts bounds the parts that are remembered of one target.
	partLife = time.Minute
	maxParts = 4096
)

// Board is what the holder of a service knows of its targets. It is not safe for
// concurrent use.
type Board struct {
	targets map[string]*target
	runs    map[string]*run
	heard   map[string]time.Time
	// mean is the mean pace of all targets in seconds a token.
	mean float64
}

// target is one life of a target.
type target struct {
	born int64
	runs map[string]*run
	// reading is the work of the requests without a first event, in tokens.
	reading float64
	// pace is the time to the first event for each token of work that is there, in
	// seconds; zero if unknown.
	pace    float64
	pacedAt time.Time
	faults  float64
	faultAt time.Time
	// pausedUntil passes the target over.
	pausedUntil time.Time
	// parts are the times at which parts of prompts were last read.
	parts map[string]time.Time
}

// run is one request at a target.
type run struct {
	host string
	at   time.Time
	on   *target
	// own is the request's work in tokens, ahead that which it found there.
	own, ahead float64
	begun      bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{targets: map[string]*target{}, runs: map[string]*run{}, heard: map[string]time.Time{}, mean: firstPace}
}

// Choose returns the target where w is predicted to begin first, and notes w
// there.
func (b *Board) Choose(w *Work, targets []*catalog.Target, now time.Time) Choice {
	b.heard[w.Host] = now
	b.expire(now)
	except := map[string]bool{}
	for _, id := range w.Except {
		except[id] = true
	}
	var best *catalog.Target
	least := math.Inf(1)
	for _, t := range targets {
		if except[t.ID] {
			continue
		}
		if cost := b.cost(w, t, now); cost < least {
			best, least = t, cost
		}
	}
	if best == nil {
		return Choice{}
	}
	s := b.target(best)
	own, cached := s.work(w, now)
	c := Choice{Target: best.ID, Reading: int(s.reading), Cached: cached, Expected: seconds(b.pace(s, now) * (s.reading + own))}
	b.enter(w, s, own, now)
	return c
}

// enter notes w at s.
func (b *Board) enter(w *Work, s *target, own float64, now time.Time) {
	r := &run{host: w.Host, at: now, on: s, own: own, ahead: s.reading}
	b.runs[w.ID], s.runs[w.ID] = r, r
	s.reading += own
	for _, p := range w.shared() {
		if len(s.parts) < maxParts {
			s.parts[p.ID] = now
		}
	}
}

// shared returns the parts that other requests may share.
func (w *Work) shared() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// work returns the work of w at s in tokens, and how many tokens are cached
// there: what follows a part that isn't has to be read too.
func (s *target) work(w *Work, now time.Time) (own float64, cached int) {
	own = baseWork
	whole := true
	for i, p := range w.Parts {
		at, ok := s.parts[p.ID]
		whole = whole && ok && now.Sub(at) < partLife && i < len(w.Parts)-1
		if whole {
			cached += p.Tokens
		} else {
			own += float64(p.Tokens)
		}
	}
	return own, cached
}

// cost is the predicted time until w begins at t, in seconds, weighed.
func (b *Board) cost(w *Work, t *catalog.Target, now time.Time) float64 {
	s := b.target(t)
	if s.pausedUntil.After(now) {
		return math.MaxFloat64
	}
	own, cached := s.work(w, now)
	cost := b.pace(s, now) * (s.reading + own)
	shared := 0
	for _, p := range w.shared() {
		shared += p.Tokens
	}
	cost += readShare * b.mean * float64(shared-cached)
	if w.Domain != "" && t.Domain != w.Domain {
		cost += moveTime.Seconds()
	}
	if len(s.runs) >= max(1, t.Slots) {
		cost += fullTime.Seconds()
	}
	cost *= 1 + faultCost*s.faults*math.Exp(-now.Sub(s.faultAt).Seconds()/faultLife.Seconds())
	rank := 1 - float64(peer.Weight(t.ID, w.home()))/math.MaxUint64
	return cost * (1 + hashShare*rank)
}

// pace is the time that s is predicted to take for a token, in seconds: as it was
// lately, and not less than what the oldest request shows that waits there.
func (b *Board) pace(s *target, now time.Time) float64 {
	pace := b.mean
	if s.pace > 0 {
		pace += (s.pace - b.mean) * math.Exp(-now.Sub(s.pacedAt).Seconds()/paceLife.Seconds())
	}
	for _, r := range s.runs {
		if !r.begun {
			pace = math.Max(pace, now.Sub(r.at).Seconds()/(r.ahead+r.own))
		}
	}
	return math.Min(pace, maxPace*b.mean)
}

// Take takes in what became of a host's requests.
func (b *Board) Take(report *Report, now time.Time) {
	b.heard[report.Host] = now
	for _, n := range report.News {
		if r := b.runs[n.ID]; r != nil {
			b.note(n, r, now)
		}
	}
}

func (b *Board) note(n News, r *run, now time.Time) {
	s := r.on
	switch n.Progress {
	case Begun:
		b.begin(r, now)
		return
	case Answered:
		b.begin(r, now)
		s.fault(0, now)
	case Failed:
		s.fault(1, now)
	case Rejected:
		s.pausedUntil = now.Add(rejectPause)
	case Abandoned:
		if !r.begun && now.Sub(r.at).Seconds() > b.pace(s, now)*(r.ahead+r.own) {
			b.learn(r, now)
		}
	}
	b.leave(n.ID, r)
}

// begin notes the first event of r.
func (b *Board) begin(r *run, now time.Time) {
	if r.begun {
		return
	}
	r.begun = true
	r.on.reading = math.Max(0, r.on.reading-r.own)
	b.learn(r, now)
}

// learn takes the time since the start of r as a sample of its target's pace.
func (b *Board) learn(r *run, now time.Time) {
	s := r.on
	sample := math.Min(now.Sub(r.at).Seconds()/(r.ahead+r.own), maxPace*b.mean)
	if s.pace == 0 {
		s.pace = b.mean
	}
	s.pace += paceWeight * (sample - s.pace)
	s.pacedAt = now
	b.mean += meanWeight * (sample - b.mean)
}

// fault notes a failure (1) or its absence (0).
func (s *target) fault(x float64, now time.Time) {
	s.faults *= math.Exp(-now.Sub(s.faultAt).Seconds() / faultLife.Seconds())
	s.faults += faultWeight * (x - s.faults)
	s.faultAt = now
}

// leave forgets r.
func (b *Board) leave(id string, r *run) {
	if !r.begun {
		r.on.reading = math.Max(0, r.on.reading-r.own)
	}
	delete(b.runs, id)
	delete(r.on.runs, id)
}

// expire forgets the requests of hosts that fell silent.
func (b *Board) expire(now time.Time) {
	silent := map[string]bool{}
	for host, at := range b.heard {
		if now.Sub(at) > hostLife {
			silent[host] = true
			delete(b.heard, host)
		}
	}
	if len(silent) == 0 {
		return
	}
	for id, r := range b.runs {
		if silent[r.host] {
			b.leave(id, r)
		}
	}
}

// target returns what is known of the present life of t.
func (b *Board) target(t *catalog.Target) *target {
	s := b.targets[t.ID]
	if s == nil || s.born != t.Born {
		s = &target{born: t.Born, runs: map[string]*run{}, parts: map[string]time.Time{}}
		b.targets[t.ID] = s
	}
	return s
}

// Keep forgets the targets that are not in the list.
func (b *Board) Keep(targets []*catalog.Target) {
	known := map[string]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	for id, s := range b.targets {
		if !known[id] && len(s.runs) == 0 {
			delete(b.targets, id)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
