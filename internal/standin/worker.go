package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// Worker is a member of a stage pool or a plain service: it runs up to Slots
// attempts at once, each for its service time divided by Speed; others wait in
// order of arrival. Exported fields are set before the first request.
type Worker struct {
	core
	Name  string
	Speed float64
	Slots int
	// BaseService is the time that each run takes beyond that of its work.
	BaseService time.Duration

	once    sync.Once
	slots   chan struct{}
	load    loadCount
	answers answerTable
}

// SetSlowdown makes runs, those under way included, take factor times as long;
// one is the worker's own speed.
func (w *Worker) SetSlowdown(factor float64) {
	w.SetFaults(TargetFaults{Slow: factor})
}

// ServeHTTP runs an attempt, answers whether a key ran and reports the load.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		w.serveControl(rw, r, w.Name)
		return
	}
	faults, _, _ := w.now()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case contract.RunPath:
		w.serveRun(rw, r, &faults)
	case contract.AskPath:
		w.serveAsk(rw, r)
	case contract.ReportPath:
		running, waiting := w.load.read()
		writeJSON(rw, contract.Report{Target: w.Name, Incarnation: w.Incarnation(), At: time.Now(), Running: running, Waiting: waiting})
	default:
		http.NotFound(rw, r)
	}
}

func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request, faults *TargetFaults) {
	var run contract.Run
	if !readJSON(rw, r, maxRunBytes, &run) {
		return
	}
	a := w.answer(rw, &run)
	if faults.Fail {
		a.end(contract.Piece{Failure: "the target fails every run"})
		return
	}
	if !w.take(r) {
		panic(http.ErrAbortHandler)
	}
	defer w.give()
	w.count(&run)
	text, cost, ok := w.execute(r, &run)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.answers.put(run.Key, text)
	pause(r, faults.AnswerDelay)
	a.piece(text)
	a.end(contract.Piece{Cost: cost})
}

// take waits for a slot.
func (w *Worker) take(r *http.Request) bool {
	w.once.Do(func() { w.slots = make(chan struct{}, max(w.Slots, 1)) })
	_, _, dead := w.now()
	w.load.wait()
	select {
	case w.slots <- struct{}{}:
		w.load.begin()
		return true
	case <-r.Context().Done():
	case <-dead:
	}
	w.load.leave()
	return false
}

func (w *Worker) give() {
	w.load.end()
	<-w.slots
}

// execute spends the service time of run and returns its output and cost.
func (w *Worker) execute(r *http.Request, run *contract.Run) (string, time.Duration, bool) {
	var work contract.Work
	json.Unmarshal(run.Input, &work)
	start := time.Now()
	if !w.work(work.ServiceTime(run.Stage)+w.BaseService, w.Speed, r.Context().Done()) {
		return "", 0, false
	}
	if work.Crash {
		w.Crash()
		return "", 0, false
	}
	text := strings.TrimSpace(work.Previous + " " + w.Name + "(" + run.Stage + ": " + work.Text + ")")
	return text, time.Since(start), true
}

// serveAsk answers whether the key of the query ran to its end here. A run
// that arrives after the answer still runs.
func (w *Worker) serveAsk(rw http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get(contract.KeyParam)
	text, ran := w.answers.get(key)
	writeJSON(rw, contract.AskReply{Ran: ran || w.Runs()[key] > 0, Answer: text})
}
