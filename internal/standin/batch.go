package standin

import (
	"sort"
	"strconv"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// sequence is one run in an engine. The engine's mutex guards the fields that
// change.
type sequence struct {
	run          *contract.Run
	work         contract.Work
	arrival      int
	wantedTokens int // total tokens to generate, those before ResumeFrom included
	// ownTokens counts the prompt tokens after the shared prefix.
	ownTokens    int
	promptTokens int

	generated int
	cached    int
	cost      time.Duration
	done      bool
	aborted   bool
	failure   string
	changed   chan struct{} // closed and replaced at each change
}

// progress is a copy of the fields of a sequence that change.
type progress struct {
	generated, cached int
	cost              time.Duration
	done, aborted     bool
	failure           string
}

func (e *Engine) progress(s *sequence) (progress, <-chan struct{}) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return progress{s.generated, s.cached, s.cost, s.done, s.aborted, s.failure}, s.changed
}

// token returns the text of the i-th token.
func (s *sequence) token(i int) string {
	if i == 0 {
		return firstToken(s.run, &s.work)
	}
	return " " + strconv.Itoa(i)
}

// signal wakes the goroutines that wait for a change of s.
func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish marks s as done. An empty failure means that all tokens were generated,
// or that the sequence was aborted.
func (s *sequence) finish(failure string) {
	s.done = true
	s.failure = failure
	s.signal()
}

// runSteps runs the batch step by step until no sequence is left or the engine
// crashes.
func (e *Engine) runSteps() {
	_, _, crashed := e.currentFaults()
	for {
		d, idle, ok := e.beginStep()
		if !ok {
			return
		}
		start := time.Now()
		completed := e.simulateWork(d, e.Speed, idle)
		if isClosed(crashed) {
			e.abortAll()
			return
		}
		if !completed {
			continue
		}
		if e.endStep(time.Since(start)) {
			e.Crash()
			e.abortAll()
			return
		}
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// beginStep admits waiting sequences to the batch. It returns the duration of the
// step at speed one and a channel that is closed once no sequence is left, or
// false when the batch is empty.
func (e *Engine) beginStep() (time.Duration, <-chan struct{}, bool) {
	e.lock()
	defer e.engineMu.Unlock()
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.run.Priority != b.run.Priority {
			return a.run.Priority > b.run.Priority
		}
		return a.arrival < b.arrival
	})
	prompt := 0
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		e.countRun(s.run)
		s.cached = e.lookupPrefix(s)
		prompt += s.promptTokens - s.cached
	}
	e.recordLoad()
	if len(e.running) == 0 {
		e.stepping = false
		return 0, nil, false
	}
	e.idle = make(chan struct{})
	d := e.StepBase + time.Duration(len(e.running))*e.StepPerSeq + time.Duration(prompt)*e.PromptToken
	return d, e.idle, true
}

// lookupPrefix returns the number of prompt tokens of s that are cached, and
// caches its prefix.
func (e *Engine) lookupPrefix(s *sequence) int {
	if s.work.Prefix == "" || !e.prefixes.lookupOrAdd(s.work.Prefix) {
		return 0
	}
	return e.PrefixTokens
}

// endStep adds one token and an equal share of the step's time to each running
// sequence. It reports whether one of them crashes the engine.
func (e *Engine) endStep(d time.Duration) bool {
	e.lock()
	defer e.engineMu.Unlock()
	share := d / time.Duration(max(len(e.running), 1))
	for _, s := range e.running {
		if s.work.Crash {
			return true
		}
		s.cost += share
		if s.generated < s.wantedTokens {
			s.generated++
		}
		if s.generated >= s.wantedTokens {
			s.finish("")
		} else {
			s.signal()
		}
	}
	e.removeFinished()
	return false
}

// removeFinished removes finished sequences and closes e.idle when none is left.
// The caller holds e.engineMu.
func (e *Engine) removeFinished() {
	e.waiting = unfinished(e.waiting)
	e.running = unfinished(e.running)
	if len(e.waiting)+len(e.running) == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
	e.recordLoad()
}

func unfinished(in []*sequence) []*sequence {
	var out []*sequence
	for _, s := range in {
		if !s.done {
			out = append(out, s)
		}
	}
	return out
}

// abortAll aborts every sequence, which breaks its connection, and resets the
// prefix cache and the models and role, as a restart of the process does.
func (e *Engine) abortAll() {
	e.lock()
	defer e.engineMu.Unlock()
	for _, s := range append(e.waiting, e.running...) {
		s.aborted = true
		s.finish("")
	}
	e.waiting, e.running = nil, nil
	e.stepping = false
	e.prefixes = newPrefixCache(e.CachePrefixes, e.EventGap)
	e.orders.init(e.Models, e.Role)
	e.recordLoad()
}

// maxReports bounds the load reports that are kept until ReportLag has passed.
const maxReports = 4096

// recordLoad stores the current load, which is reported after ReportLag. The
// caller holds e.engineMu.
func (e *Engine) recordLoad() {
	r := contract.Report{At: time.Now(), Running: len(e.running), Waiting: len(e.waiting)}
	e.reports = append(e.reports, r)
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)-maxReports:]
	}
}

// report returns the newest load report that is at least ReportLag old.
func (e *Engine) report() contract.Report {
	e.lock()
	defer e.engineMu.Unlock()
	limit := time.Now().Add(-e.ReportLag)
	n := sort.Search(len(e.reports), func(i int) bool { return e.reports[i].At.After(limit) })
	var r contract.Report
	if n > 0 {
		r = e.reports[n-1]
		e.reports = e.reports[n-1:]
	}
	r.Target, r.Incarnation = e.Name, e.Incarnation()
	r.Models, r.Role = e.orders.state()
	return r
}
