package placement

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Weights, times and bounds of what is learned.
const (
	// initialPace is the pace before the first sample, in seconds per token.
	initialPace = 30e-6
	// paceWeight is the weight of the newest sample in a target's pace,
	// meanPaceWeight its weight in the mean pace of all targets. maxPaceFactor
	// bounds a sample, as a multiple of the mean pace.
	paceWeight     = 0.3
	meanPaceWeight = 0.02
	maxPaceFactor  = 30
	// meanTokensWeight is the weight of the newest request in the mean work.
	meanTokensWeight = 0.02
	// failureWeight is the weight of the newest outcome in the failure rate,
	// failureDecayTime the time constant with which that rate decays.
	failureWeight    = 0.3
	failureDecayTime = 2 * time.Second
	// hostTimeout is the time without a message from a host after which its
	// requests no longer count.
	hostTimeout = 1500 * time.Millisecond
	// silence is the time without a message from a host with open requests that shows that
	// its reports are late: a heartbeat is missing.
	silence = heartbeatInterval + heartbeatInterval/2
	// listDelay is the longest time that a host's list of its requests takes to
	// arrive. A request that was counted within it may be missing from the list.
	listDelay = reportTimeout
	// maxCachedParts bounds the parts of prompts recorded for one target.
	maxCachedParts = 4096
)

// Quotas holds the turns of requests at targets that limit them.
type Quotas interface {
	// Limited reports whether t limits the number of its requests or is cold.
	Limited(t *catalog.Target) bool
	// Wait returns the time until a request may go to t; it is zero without a limit.
	Wait(t *catalog.Target) time.Duration
	// Take lets one request go to t after Wait. It reports whether the turn keeps to
	// the rate of a cold target.
	Take(t *catalog.Target) (cold bool)
}

// LoadTable is the state that the holder of a service keeps of its targets and
// their requests. It is not safe for concurrent use.
type LoadTable struct {
	targets  map[string]*targetState
	requests map[string]*openRequest
	// hostRequests holds the requests by host.
	hostRequests map[string]map[string]*openRequest
	// lastMessage holds the time of the last message of each host.
	lastMessage map[string]*time.Time
	// resumed holds the time of the first message of each host after its last silence.
	resumed map[string]time.Time
	// noSilenceBefore is the earliest time at which a host can have been silent for
	// hostTimeout.
	noSilenceBefore time.Time
	// meanPace is the mean pace of all targets in seconds per token.
	meanPace float64
	// meanTokens is the mean work of requests in tokens.
	meanTokens float64
	quotas     Quotas
	// work is nil unless the table chooses by WorkPolicy.
	work *workState
}

// targetState is the state kept of one incarnation of a target.
type targetState struct {
	born int64
	// replaced is set once the target has a newer incarnation.
	replaced bool
	requests map[string]*openRequest
	// pendingTokens is the work of the requests without a first event, in tokens.
	pendingTokens float64
	// pace is the time to the first event per token of pending work, in seconds, or
	// zero if it is unknown.
	pace          float64
	paceAt        time.Time
	failureRate   float64
	failureRateAt time.Time
	// pausedUntil is the time until which the target is avoided.
	pausedUntil time.Time
	rejections  backpressure.Rejections
	// cachedParts maps the ID of a prompt part to the time of the last request that
	// had it. The least recently sent parts are evicted.
	cachedParts *simplelru.LRU[string, time.Time]
	// load and slowness are kept for WorkPolicy alone.
	load     engineLoad
	slowness slowness
	cached   cachedPrefix
	decayed  decayedValues
}

// openRequest is one request at a target.
type openRequest struct {
	host      string
	startedAt time.Time
	target    *targetState
	// ownTokens is the work of the request in tokens, tokensAhead the work pending
	// at the target when it arrived.
	ownTokens, tokensAhead float64
	hasFirstEvent          bool
	// engine is the request in the load of its target, or nil with PrefillPolicy.
	engine *engineRequest
}

// NewLoadTable returns an empty load table.
func NewLoadTable(quotas Quotas) *LoadTable {
	return &LoadTable{
		quotas:       quotas,
		targets:      map[string]*targetState{},
		requests:     map[string]*openRequest{},
		hostRequests: map[string]map[string]*openRequest{},
		lastMessage:  map[string]*time.Time{},
		resumed:      map[string]time.Time{},
		meanPace:     initialPace,
		meanTokens:   baseTokens,
	}
}

// addRequest counts w at s; e is its work there, or nil. A call that is handled late may have
// been followed by another one for the same request, which is counted only once.
func (lt *LoadTable) addRequest(w *Work, s *targetState, e *engineRequest, ownTokens float64, now time.Time) {
	if former := lt.requests[w.ID]; former != nil {
		lt.removeRequest(w.ID, former, now)
	}
	r := &openRequest{host: w.Host, startedAt: now, target: s, ownTokens: ownTokens, tokensAhead: s.pendingTokens, engine: e}
	if e != nil {
		e.lastMessage = lt.lastMessage[w.Host]
	}
	lt.meanTokens += meanTokensWeight * (ownTokens - lt.meanTokens)
	lt.requests[w.ID], s.requests[w.ID] = r, r
	if lt.hostRequests[w.Host] == nil {
		lt.hostRequests[w.Host] = map[string]*openRequest{}
	}
	lt.hostRequests[w.Host][w.ID] = r
	s.pendingTokens += ownTokens
	if lt.work != nil {
		return
	}
	for _, p := range w.sharedParts() {
		s.cachedParts.Add(p.ID, now)
	}
}

// Apply applies the updates in a host's report and returns how many requests the
// host's list corrected.
func (lt *LoadTable) Apply(report *Report, now time.Time) (corrected int) {
	lt.recordMessage(report.Host, now)
	for _, n := range report.News {
		if r := lt.requests[n.ID]; r != nil {
			lt.applyUpdate(n, r, now)
		}
	}
	if report.Open == nil {
		return 0
	}
	corrected = lt.correct(report.Host, report.Open, now)
	lt.applyEvents(report.Open)
	return corrected
}

// correct makes the requests that are counted for a host those in its list. A
// request whose end was lost would otherwise make its target look ever slower, and
// one whose choice was lost as well.
func (lt *LoadTable) correct(host string, open *OpenRequests, now time.Time) (corrected int) {
	const waiting, begun = 1, 2
	listed := map[string]int{}
	for _, id := range open.Waiting {
		listed[id] = waiting
	}
	for _, id := range open.Begun {
		listed[id] = begun
	}
	for id, r := range lt.hostRequests[host] {
		switch {
		case listed[id] == begun && !r.hasFirstEvent:
			r.begin()
			corrected++
		case listed[id] == 0 && now.Sub(r.startedAt) > listDelay:
			lt.removeRequest(id, r, now)
			corrected++
		}
	}
	return corrected
}

func (lt *LoadTable) applyUpdate(n News, r *openRequest, now time.Time) {
	s := r.target
	if n.Progress == Begun || n.Progress == Answered && !r.hasFirstEvent {
		s.rejections.Record(false, now)
	}
	switch n.Progress {
	case Begun:
		lt.sampleSlowness(r, now)
		lt.recordFirstEvent(r, now)
		return
	case Answered:
		lt.recordFirstEvent(r, now)
		s.updateFailureRate(0, now)
	case Failed:
		s.updateFailureRate(1, now)
	case Rejected:
		s.pausedUntil = now.Add(s.rejections.Record(true, now))
	case Abandoned:
		if !r.hasFirstEvent && now.Sub(r.startedAt).Seconds() > lt.pace(s, now)*(r.tokensAhead+r.ownTokens) {
			lt.samplePace(r, now)
			lt.sampleSlowness(r, now)
		}
	}
	if r.engine != nil {
		lt.learnOutput(r.engine, n)
	}
	lt.removeRequest(n.ID, r, now)
}

// recordFirstEvent records the first event of r.
func (lt *LoadTable) recordFirstEvent(r *openRequest, now time.Time) {
	if r.hasFirstEvent {
		return
	}
	r.begin()
	lt.samplePace(r, now)
}

// begin takes the work of r off its target's pending work.
func (r *openRequest) begin() {
	r.hasFirstEvent = true
	r.engine.begin()
	r.target.pendingTokens = math.Max(0, r.target.pendingTokens-r.ownTokens)
}

// samplePace takes the time since the start of r as a sample of the pace of its
// target.
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

// updateFailureRate adds a failure (1) or a success (0) to the failure rate.
func (s *targetState) updateFailureRate(x float64, now time.Time) {
	s.failureRate *= math.Exp(-now.Sub(s.failureRateAt).Seconds() / failureDecayTime.Seconds())
	s.failureRate += failureWeight * (x - s.failureRate)
	s.failureRateAt = now
}

// removeRequest removes r and the pending tokens that it accounts for.
func (lt *LoadTable) removeRequest(id string, r *openRequest, now time.Time) {
	r.engine.end(now)
	if !r.hasFirstEvent {
		r.begin()
	}
	delete(lt.requests, id)
	delete(r.target.requests, id)
	delete(lt.hostRequests[r.host], id)
	if len(lt.hostRequests[r.host]) == 0 {
		delete(lt.hostRequests, r.host)
	}
}

// recordMessage records a message from a host.
func (lt *LoadTable) recordMessage(host string, now time.Time) {
	at := lt.lastMessage[host]
	if at == nil {
		at = new(time.Time)
		lt.lastMessage[host] = at
	}
	if now.Sub(*at) > silence {
		lt.resumed[host] = now
	}
	*at = now
}

// removeSilentHosts removes the requests of hosts without a message for
// hostTimeout.
func (lt *LoadTable) removeSilentHosts(now time.Time) {
	if !now.After(lt.noSilenceBefore) {
		return
	}
	earliest := now
	for host, at := range lt.lastMessage {
		if now.Sub(*at) <= hostTimeout {
			if at.Before(earliest) {
				earliest = *at
			}
			continue
		}
		delete(lt.lastMessage, host)
		delete(lt.resumed, host)
		for id, r := range lt.hostRequests[host] {
			lt.removeRequest(id, r, now)
		}
	}
	lt.noSilenceBefore = earliest.Add(hostTimeout)
}

// targetState returns the state of the present incarnation of t.
func (lt *LoadTable) targetState(t *catalog.Target) *targetState {
	s := lt.targets[t.ID]
	if s == nil || s.born != t.Born {
		if s != nil {
			s.replaced = true
		}
		s = &targetState{born: t.Born, requests: map[string]*openRequest{}, cachedParts: newCachedParts()}
		if lt.work != nil {
			s.slowness = newSlowness(lt.work.meanSlowness)
		}
		lt.targets[t.ID] = s
	}
	return s
}

func newCachedParts() *simplelru.LRU[string, time.Time] {
	parts, err := simplelru.NewLRU[string, time.Time](maxCachedParts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return parts
}

// Prune removes the state of targets that are not in targets and have no requests.
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
