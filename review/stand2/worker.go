package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a worker of a service. It registers itself in the store, and runs requests,
// streams and pieces of stages.
type worker struct {
	b       *bench
	service string
	slots   int
	addr    string
	// work runs a request whose head has been checked.
	work func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)
	// callTime is the time of a call with pieces, of which the worker runs one at a time. full
	// means that it has no memory for results. called, unless nil, is called at the start of
	// each call.
	callTime time.Duration
	full     atomic.Bool
	called   func()
	// answers, unless nil, changes the header of every answer.
	answers func(h http.Header)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	server   *http.Server
	// runs holds how often each request began.
	runs map[string]int
	// made counts the results.
	made  int
	calls sync.Mutex
}

type pieceDoc struct {
	ID        string   `json:"id"`
	Stage     int      `json:"stage"`
	Segment   int      `json:"segment"`
	Key       string   `json:"key"`
	Inputs    []string `json:"inputs"`
	Remaining int      `json:"remainingMs"`
}

// startWorker starts w and registers it.
func (b *bench) startWorker(w *worker) error {
	w.b, w.runs = b, map[string]int{}
	if w.slots == 0 {
		w.slots = 16
	}
	b.workers = append(b.workers, w)
	w.addr = b.nextIP() + ":0"
	return w.begin()
}

// begin starts an incarnation at the address of the one before, if there was one.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.addr = l.Addr().String()
	w.born = time.Now().UnixMilli()
	w.id = "i-" + strings.ReplaceAll(w.addr[4:], ":", ".")
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	w.mu.Unlock()
	w.b.note("worker %s of %s is at %s", w.id, w.service, w.addr)
	return w.register("ready")
}

// register writes the entry of the worker.
func (w *worker) register(state string) error {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{"service": w.service, "address": w.addr, "zone": "zone-1", "version": "1", "slots": w.slots, "state": state, "coldLeftMs": 0, "sequence": w.sequence, "born": w.born}
	id := w.id
	w.mu.Unlock()
	return w.b.store.put("keyed.servers", id, entry)
}

// stop ends the incarnation as a crash does: its connections break and its port refuses. It
// reports whether there was one.
func (w *worker) stop() bool {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server == nil {
		return false
	}
	server.Close()
	return true
}

// crash ends the incarnation, and begins another one after a while under the same ID. It
// reports whether there was one to end.
func (w *worker) crash(down time.Duration) bool {
	if !w.stop() {
		return false
	}
	w.b.note("worker %s crashes", w.id)
	time.AfterFunc(down, func() {
		if err := w.begin(); err != nil {
			w.b.note("worker %s cannot start again: %v", w.id, err)
		}
	})
	return true
}

// instance returns the ID of the present incarnation.
func (w *worker) instance() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// ServeHTTP checks the head of a request and runs it.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		rw.Header().Set("Request-Id", id)
	}
	if w.answers != nil {
		w.answers(rw.Header())
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.instance() {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/healthz":
		rw.Header().Set("Instance-Id", w.instance())
	case "/berylswitch/stage-run":
		w.runPieces(rw, body)
	case "/berylswitch/stage-free":
		writeJSON(rw, map[string]any{})
	default:
		w.work(w, rw, r, body)
	}
}

// began records that a request begins to run here.
func (w *worker) began(r *http.Request, id string) {
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.b.note("worker %s runs %s %s %s", w.instance(), id, r.Method, r.RequestURI)
}

// ran returns how often a request began here.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *worker) runPieces(rw http.ResponseWriter, body []byte) {
	var call struct {
		Items []pieceDoc `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range call.Items {
		w.b.note("worker %s of %s runs piece %d of stage %d of %s", w.instance(), w.service, p.Segment, p.Stage, p.ID)
	}
	w.calls.Lock()
	defer w.calls.Unlock()
	if w.called != nil {
		w.called()
	}
	time.Sleep(w.callTime)
	items := make([]map[string]string, len(call.Items))
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range call.Items {
		if w.full.Load() {
			items[i] = map[string]string{"reason": "room"}
			continue
		}
		w.made++
		handle := fmt.Sprintf("%s/%x", w.addr, w.born<<16+int64(w.made))
		items[i] = map[string]string{"handle": handle}
	}
	w.b.note("worker %s of %s answers a call with %v", w.id, w.service, items)
	writeJSON(rw, map[string]any{"items": items})
}

// signature returns the signature of an answer.
func signature(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

// answerAfter returns work that answers after a time with 200 and a short body.
func answerAfter(d time.Duration) func(*worker, http.ResponseWriter, *http.Request, []byte) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		w.began(r, id)
		time.Sleep(d)
		rw.Header().Set("Response-Signature", signature(id))
		fmt.Fprintf(rw, "answer to %s\n", id)
	}
}
