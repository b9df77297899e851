package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// Worker simulates a member of a stage pool or a plain service. It runs up to
// Slots attempts at once, each for its service time divided by Speed; others wait
// in order of arrival. Exported fields are set before the first request.
type Worker struct {
	targetState
	Name  string
	Speed float64
	Slots int
	// BaseService is added to the service time of each run.
	BaseService time.Duration

	slotsOnce sync.Once
	slots     chan struct{}
	load      loadCounter
	answers   answerTable
}

// SetSlowdown makes runs, those in progress included, take factor times as long.
// A factor of one restores the normal speed. It replaces all other faults.
func (w *Worker) SetSlowdown(factor float64) {
	w.SetFaults(TargetFaults{Slow: factor})
}

// ServeHTTP handles runs, queries whether a key ran, load reports and control
// messages.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		w.serveControl(rw, r, w.Name)
		return
	}
	faults, _, _ := w.currentFaults()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case contract.RunPath:
		w.serveRun(rw, r, &faults)
	case contract.AskPath:
		w.serveAsk(rw, r)
	case contract.ReportPath:
		running, waiting := w.load.counts()
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
	pw := w.newPieceWriter(rw, &run)
	if faults.Fail {
		pw.writeEnd(contract.Piece{Failure: "the target fails every run"})
		return
	}
	if !w.acquireSlot(r) {
		panic(http.ErrAbortHandler)
	}
	defer w.releaseSlot()
	w.countRun(&run)
	text, cost, ok := w.execute(r, &run)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.answers.put(run.Key, text)
	pause(r, faults.AnswerDelay)
	pw.writePiece(text)
	pw.writeEnd(contract.Piece{Cost: cost})
}

// acquireSlot waits for a slot. It returns false if the request ends or the
// worker crashes first.
func (w *Worker) acquireSlot(r *http.Request) bool {
	w.slotsOnce.Do(func() { w.slots = make(chan struct{}, max(w.Slots, 1)) })
	_, _, crashed := w.currentFaults()
	w.load.enqueue()
	select {
	case w.slots <- struct{}{}:
		w.load.start()
		return true
	case <-r.Context().Done():
	case <-crashed:
	}
	w.load.abandon()
	return false
}

func (w *Worker) releaseSlot() {
	w.load.finish()
	<-w.slots
}

// execute waits for the service time of run and returns its output and cost. It
// returns false if the run is aborted or crashes the worker.
func (w *Worker) execute(r *http.Request, run *contract.Run) (string, time.Duration, bool) {
	var work contract.Work
	json.Unmarshal(run.Input, &work)
	start := time.Now()
	if !w.simulateWork(work.ServiceTime(run.Stage)+w.BaseService, w.Speed, r.Context().Done()) {
		return "", 0, false
	}
	if work.Crash {
		w.Crash()
		return "", 0, false
	}
	text := strings.TrimSpace(work.Previous + " " + w.Name + "(" + run.Stage + ": " + work.Text + ")")
	return text, time.Since(start), true
}

// serveAsk answers whether a run with the key in the query started here, with its
// answer if it is complete. A run that arrives after the answer still runs.
func (w *Worker) serveAsk(rw http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get(contract.KeyParam)
	text, ran := w.answers.get(key)
	writeJSON(rw, contract.AskReply{Ran: ran || w.Runs()[key] > 0, Answer: text})
}
