package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// Defaults of an Engine; bytesPerToken is fixed.
const (
	defaultStepBase      = 10 * time.Millisecond
	defaultStepPerSeq    = time.Millisecond
	defaultPromptToken   = 20 * time.Microsecond
	defaultPrefixTokens  = 512
	defaultCachePrefixes = 64
	bytesPerToken        = 4
)

// Engine simulates a model engine with continuous batching. In each step every
// running sequence generates one token. A step takes StepBase, plus StepPerSeq
// for each running sequence, plus PromptToken for each uncached prompt token of
// the sequences admitted in it. Up to Slots sequences run at once; others wait,
// ordered by priority, then by arrival. Exported fields are set before the first
// request; zero durations and sizes are replaced by defaults.
type Engine struct {
	targetState
	Name        string
	Speed       float64
	Slots       int
	StepBase    time.Duration
	StepPerSeq  time.Duration
	PromptToken time.Duration
	// PrefixTokens is the length of every prompt prefix in tokens, CachePrefixes
	// the number of prefixes that the cache holds.
	PrefixTokens  int
	CachePrefixes int
	// ReportLag is the age of load reports when they are served, EventLag that of
	// cache events. Each EventGap-th cache event is lost; zero loses none.
	ReportLag time.Duration
	EventLag  time.Duration
	EventGap  int
	// Models are loaded at the start. If empty, the engine serves every model.
	Models []string
	Role   string
	// ChecksFencing makes the engine refuse orders whose fencing number is lower
	// than the highest one it has seen.
	ChecksFencing bool
	// Weights is the address of the weight store. Without one a model loads
	// immediately.
	Weights netip.AddrPort
	HTTP    *http.Client

	engineMu    sync.Mutex
	initialized bool
	waiting     []*sequence
	running     []*sequence
	stepping    bool
	idle        chan struct{} // closed when no sequence is left
	arrivals    int
	prefixes    *prefixCache
	reports     []contract.Report
	orders      orderState
}

// initEngine sets the defaults once. The caller holds e.engineMu.
func (e *Engine) initEngine() {
	if e.initialized {
		return
	}
	e.initialized = true
	e.Slots = max(e.Slots, 1)
	setDefault(&e.StepBase, defaultStepBase)
	setDefault(&e.StepPerSeq, defaultStepPerSeq)
	setDefault(&e.PromptToken, defaultPromptToken)
	if e.PrefixTokens == 0 {
		e.PrefixTokens = defaultPrefixTokens
	}
	if e.CachePrefixes == 0 {
		e.CachePrefixes = defaultCachePrefixes
	}
	e.prefixes = newPrefixCache(e.CachePrefixes, e.EventGap)
	e.orders.init(e.Models, e.Role)
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// lock locks engineMu and sets the defaults on first use.
func (e *Engine) lock() {
	e.engineMu.Lock()
	e.initEngine()
}

// ServeHTTP handles runs, cancellations, orders, load reports, cache events and
// control messages.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		e.serveControl(w, r, e.Name)
		return
	}
	faults, _, _ := e.currentFaults()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case contract.RunPath:
		e.serveRun(w, r, &faults)
	case contract.CancelPath:
		e.serveCancel(w, r)
	case contract.ReportPath:
		writeJSON(w, e.report())
	case contract.EventsPath:
		e.serveEvents(w, r)
	case contract.OrderPath:
		e.serveOrder(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request, faults *TargetFaults) {
	var run contract.Run
	if !readJSON(w, r, maxRunBytes, &run) {
		return
	}
	pw := e.newPieceWriter(w, &run)
	if faults.Fail {
		pw.writeEnd(contract.Piece{Failure: "the target fails every run"})
		return
	}
	if !e.servesModel(run.Model) {
		pw.writeEnd(contract.Piece{Failure: "model " + run.Model + " is not loaded"})
		return
	}
	s := e.enqueue(&run)
	defer e.cancel(func(other *sequence) bool { return other == s })
	e.stream(r, pw, s, faults.AnswerDelay)
}

// stream sends the tokens of s as they are generated.
func (e *Engine) stream(r *http.Request, pw *pieceWriter, s *sequence, delay time.Duration) {
	pause(r, delay)
	for sent := s.run.ResumeFrom; ; {
		state, changed := e.progress(s)
		if state.aborted {
			panic(http.ErrAbortHandler)
		}
		for ; sent < state.generated; sent++ {
			pw.writePiece(s.token(sent))
		}
		if state.done {
			pw.writeEnd(contract.Piece{Cost: state.cost, PromptTokens: s.promptTokens, CachedTokens: state.cached, Failure: state.failure})
			return
		}
		pw.flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// enqueue adds a sequence for run to the waiting ones.
func (e *Engine) enqueue(run *contract.Run) *sequence {
	e.lock()
	defer e.engineMu.Unlock()
	s := newSequence(run, e.PrefixTokens, e.StepBase)
	e.arrivals++
	s.arrival = e.arrivals
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
	return s
}

// cancel finishes the sequences for which match returns true.
func (e *Engine) cancel(match func(*sequence) bool) {
	e.lock()
	defer e.engineMu.Unlock()
	for _, s := range append(append([]*sequence(nil), e.waiting...), e.running...) {
		if match(s) && !s.done {
			s.finish("cancelled")
		}
	}
	e.removeFinished()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c contract.Cancel
	if !readJSON(w, r, maxControlBytes, &c) {
		return
	}
	e.cancel(func(s *sequence) bool { return s.run.AttemptID == c.AttemptID })
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get(contract.FromParam))
	e.lock()
	events, next := e.prefixes.events(from, time.Now().Add(-e.EventLag))
	e.engineMu.Unlock()
	writeJSON(w, contract.CacheEvents{Target: e.Name, Incarnation: e.Incarnation(), Events: events, Next: next})
}

// firstToken returns the first token of the output for run.
func firstToken(run *contract.Run, work *contract.Work) string {
	return strings.TrimSpace(work.Previous + " " + run.Stage + "(" + work.Text + ")")
}

// newSequence returns a sequence for the work in the input of run. The output
// depends on the input alone, so that another engine can resume it.
func newSequence(run *contract.Run, prefixTokens int, stepBase time.Duration) *sequence {
	s := &sequence{run: run, changed: make(chan struct{}), generated: run.ResumeFrom}
	json.Unmarshal(run.Input, &s.work)
	s.wantedTokens = s.work.Tokens
	if s.wantedTokens == 0 {
		s.wantedTokens = 1 + int(s.work.Service/stepBase)
	}
	s.wantedTokens = max(s.wantedTokens, run.ResumeFrom)
	s.ownTokens = 1 + (len(s.work.Text)+len(s.work.Previous))/bytesPerToken + run.ResumeFrom
	s.promptTokens = s.ownTokens
	if s.work.Prefix != "" {
		s.promptTokens += prefixTokens
	}
	return s
}
