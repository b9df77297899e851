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
	baseTokens = 2000
	// firstPace is the pace before anything was seen, in seconds a token.
	initialPace = 30e-6
	// paceWeight is the weight of the newest sample in a target's pace, meanWeight
	// that in the mean pace of all; maxPace bounds a sample, in mean paces.
	paceWeight     = 0.3
	meanPaceWeight = 0.02
	maxPaceFactor  = 30
	// paceLife is the time over which a pace turns back into the mean.
	paceDecayTime = 4 * time.Second
	// moveTime is what a target counts as slower that lies in another domain than
	// large inputs.
	crossDomainPenalty = 80 * time.Millisecond
	// readShare is how many times the time to read shared tokens again by which a
	// target without them counts as slower still, since others pay for it too.
	uncachedPenalty = 2
	// hashShare is the part by which the order of rendezvous hashing tells between
	// targets that are alike.
	hashPenalty = 0.15
	// fullTime is what a target without a free slot counts as slower.
	fullPenalty = 500 * time.Millisecond
	// faultWeight is the weight of the newest outcome in the share of failures,
	// faultLife the time over which that is forgotten. A target that fails all
	// requests counts as 1 + faultCost times as slow.
	failureWeight    = 0.3
	failurePenalty   = 8
	failureDecayTime = 2 * time.Second
	// rejectPause is how long a target that had no place is passed over.
	rejectPause = 60 * time.Millisecond
	// hostLife is the silence after which a host's requests no longer count.
	hostTimeout = 1500 * time.Millisecond
	// partLife is how long a target is believed to have a part of a prompt, and
	// maxParts bounds the parts that are remembered of one target.
	cachedPartLifetime = time.Minute
	maxCachedParts     = 4096
)

// Board is what the holder of a service knows of its targets. It is not safe for
// concurrent use.
type LoadTable struct {
	targets    map[string]*targetState
	requests   map[string]*openRequest
	lastMessage map[string]time.Time
	// mean is the mean pace of all targets in seconds a token.
	meanPace float64
}

// target is one life of a target.
type targetState struct {
	born     int64
	requests map[string]*openRequest
	// reading is the work of the requests without a first event, in tokens.
	pendingTokens float64
	// pace is the time to the first event for each token of work that is there, in
	// seconds; zero if unknown.
	pace          float64
	paceAt        time.Time
	failureRate   float64
	failureRateAt time.Time
	// pausedUntil passes the target over.
	pausedUntil time.Time
	// parts are the times at which parts of prompts were last read.
	cachedParts map[string]time.Time
}

// run is one request at a target.
type openRequest struct {
	host      string
	startedAt time.Time
	target    *targetState
	// own is the request's work in tokens, ahead that which it found there.
	ownTokens, tokensAhead float64
	hasFirstEvent          bool
}

// NewBoard returns an empty board.
func NewLoadTable() *LoadTable {
	return &LoadTable{targets: map[string]*targetState{}, requests: map[string]*openRequest{}, lastMessage: map[string]time.Time{}, meanPace: initialPace}
}

// Choose returns the target where w is predicted to begin first, and notes w
// there.
func (lt *LoadTable) Choose(w *Work, targets []*catalog.Target, now time.Time) Choice {
	lt.lastMessage[w.Host] = now
	lt.removeSilentHosts(now)
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
		if cost := lt.cost(w, t, now); cost < least {
			best, least = t, cost
		}
	}
	if best == nil {
		return Choice{}
	}
	s := lt.targetState(best)
	ownTokens, cached := s.work(w, now)
	c := Choice{Target: best.ID, Reading: int(s.pendingTokens), Cached: cached, Expected: seconds(lt.pace(s, now) * (s.pendingTokens + ownTokens))}
	lt.addRequest(w, s, ownTokens, now)
	return c
}

// enter notes w at s.
func (lt *LoadTable) addRequest(w *Work, s *targetState, ownTokens float64, now time.Time) {
	r := &openRequest{host: w.Host, startedAt: now, target: s, ownTokens: ownTokens, tokensAhead: s.pendingTokens}
	lt.requests[w.ID], s.requests[w.ID] = r, r
	s.pendingTokens += ownTokens
	for _, p := range w.sharedParts() {
		if len(s.cachedParts) < maxCachedParts {
			s.cachedParts[p.ID] = now
		}
	}
}

// shared returns the parts that other requests may share.
func (w *Work) sharedParts() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// work returns the work of w at s in tokens, and how many tokens are cached
// there: what follows a part that isn't has to be read too.
func (s *targetState) work(w *Work, now time.Time) (ownTokens float64, cached int) {
	ownTokens = baseTokens
	whole := true
	for i, p := range w.Parts {
		at, ok := s.cachedParts[p.ID]
		whole = whole && ok && now.Sub(at) < cachedPartLifetime && i < len(w.Parts)-1
		if whole {
			cached += p.Tokens
		} else {
			ownTokens += float64(p.Tokens)
		}
	}
	return ownTokens, cached
}

// cost is the predicted time until w begins at t, in seconds, weighed.
func (lt *LoadTable) cost(w *Work, t *catalog.Target, now time.Time) float64 {
	s := lt.targetState(t)
	if s.pausedUntil.After(now) {
		return math.MaxFloat64
	}
	ownTokens, cached := s.work(w, now)
	cost := lt.pace(s, now) * (s.pendingTokens + ownTokens)
	shared := 0
	for _, p := range w.sharedParts() {
		shared += p.Tokens
	}
	cost += uncachedPenalty * lt.meanPace * float64(shared-cached)
	if w.Domain != "" && t.Domain != w.Domain {
		cost += crossDomainPenalty.Seconds()
	}
	if len(s.requests) >= max(1, t.Slots) {
		cost += fullPenalty.Seconds()
	}
	cost *= 1 + failurePenalty*s.failureRate*math.Exp(-now.Sub(s.failureRateAt).Seconds()/failureDecayTime.Seconds())
	rank := 1 - float64(peer.Weight(t.ID, w.affinityKey()))/math.MaxUint64
	return cost * (1 + hashPenalty*rank)
}

// pace is the time that s is predicted to take for a token, in seconds: as it was
// lately, and not less than what the oldest request shows that waits there.
func (lt *LoadTable) pace(s *targetState, now time.Time) float64 {
	pace := lt.meanPace
	if s.pace > 0 {
		pace += (s.pace - lt.meanPace) * math.Exp(-now.Sub(s.paceAt).Seconds()/paceDecayTime.Seconds())
	}
	for _, r := range s.requests {
		if !r.hasFirstEvent {
			pace = math.Max(pace, now.Sub(r.startedAt).Seconds()/(r.tokensAhead+r.ownTokens))
		}
	}
	return math.Min(pace, maxPaceFactor*lt.meanPace)
}

// Take takes in what became of a host's requests.
func (lt *LoadTable) Apply(report *Report, now time.Time) {
	lt.lastMessage[report.Host] = now
	for _, n := range report.News {
		if r := lt.requests[n.ID]; r != nil {
			lt.applyUpdate(n, r, now)
		}
	}
}

func (lt *LoadTable) applyUpdate(n News, r *openRequest, now time.Time) {
	s := r.target
	switch n.Progress {
	case Begun:
		lt.recordFirstEvent(r, now)
		return
	case Answered:
		lt.recordFirstEvent(r, now)
		s.updateFailureRate(0, now)
	case Failed:
		s.updateFailureRate(1, now)
	case Rejected:
		s.pausedUntil = now.Add(rejectPause)
	case Abandoned:
		if !r.hasFirstEvent && now.Sub(r.startedAt).Seconds() > lt.pace(s, now)*(r.tokensAhead+r.ownTokens) {
			lt.samplePace(r, now)
		}
	}
	lt.removeRequest(n.ID, r)
}

// begin notes the first event of r.
func (lt *LoadTable) recordFirstEvent(r *openRequest, now time.Time) {
	if r.hasFirstEvent {
		return
	}
	r.hasFirstEvent = true
	r.target.pendingTokens = math.Max(0, r.target.pendingTokens-r.ownTokens)
	lt.samplePace(r, now)
}

// learn takes the time since the start of r as a sample of its target's pace.
func (lt *LoadTable) samplePace(r *openRequest, now time.Time) {
	s := r.target
	sample := math.Min(now.Sub(r.startedAt).Seconds()/(r.tokensAhead+r.ownTokens), maxPaceFactor*lt.meanPace)
	if s.pace == 0 {
		s.pace = lt.meanPace
	}
	s.pace += paceWeight * (sample - s.pace)
	s.paceAt = now
	lt.meanPace += meanPaceWeight * (sample - lt.meanPace)
}

// fault notes a failure (1) or its absence (0).
func (s *targetState) updateFailureRate(x float64, now time.Time) {
	s.failureRate *= math.Exp(-now.Sub(s.failureRateAt).Seconds() / failureDecayTime.Seconds())
	s.failureRate += failureWeight * (x - s.failureRate)
	s.failureRateAt = now
}

// leave forgets r.
func (lt *LoadTable) removeRequest(id string, r *openRequest) {
	if !r.hasFirstEvent {
		r.target.pendingTokens = math.Max(0, r.target.pendingTokens-r.ownTokens)
	}
	delete(lt.requests, id)
	delete(r.target.requests, id)
}

// expire forgets the requests of hosts that fell silent.
func (lt *LoadTable) removeSilentHosts(now time.Time) {
	silent := map[string]bool{}
	for host, at := range lt.lastMessage {
		if now.Sub(at) > hostTimeout {
			silent[host] = true
			delete(lt.lastMessage, host)
		}
	}
	if len(silent) == 0 {
		return
	}
	for id, r := range lt.requests {
		if silent[r.host] {
			lt.removeRequest(id, r)
		}
	}
}

// target returns what is known of the present life of t.
func (lt *LoadTable) targetState(t *catalog.Target) *targetState {
	s := lt.targets[t.ID]
	if s == nil || s.born != t.Born {
		s = &targetState{born: t.Born, requests: map[string]*openRequest{}, cachedParts: map[string]time.Time{}}
		lt.targets[t.ID] = s
	}
	return s
}

// Keep forgets the targets that are not in the list.
func (lt *LoadTable) Prune(targets []*catalog.Target) {
	known := map[string]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	for id, s := range lt.targets {
		if !known[id] && len(s.requests) == 0 {
			delete(lt.targets, id)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
