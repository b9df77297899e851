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
// attempts at once, each for its service time divided by Speed. Exported
// fields are set before the first request.
type Worker struct {
	Name  string
	Speed float64
	Slots int

	mu    sync.Mutex
	slots chan struct{}
	runs  map[string]int // by key, or by request ID without one
}

// Runs returns how often each key, or request without key, was run.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for k, n := range w.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP runs an attempt.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var run contract.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	var work contract.Work
	json.Unmarshal(run.Input, &work)
	slots := w.count(&run)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.Context().Done():
		return
	}
	start := time.Now()
	pause(r, time.Duration(float64(work.Service)/w.Speed))
	text := strings.TrimSpace(work.Previous + " " + w.Name + "(" + run.Stage + ": " + work.Text + ")")
	enc := json.NewEncoder(rw)
	enc.Encode(contract.Piece{AttemptID: run.AttemptID, Data: text})
	enc.Encode(contract.Piece{AttemptID: run.AttemptID, Seq: 1, End: true, Cost: time.Since(start)})
}

func (w *Worker) count(run *contract.Run) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[string]int{}
		w.slots = make(chan struct{}, w.Slots)
	}
	id := run.Key
	if id == "" {
		id = run.RequestID
	}
	w.runs[id]++
	return w.slots
}
