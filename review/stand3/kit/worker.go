package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two writes of a worker to the store.
const heartbeatInterval = 1200 * time.Millisecond

// Worker is a stand-in for a worker. Handler serves requests that name this instance, and
// Listener is where it listens.
type Worker struct {
	ID, Service, Zone, Addr string
	Slots                   int
	Handler                 http.Handler

	run   *Run
	store *Store

	mu       sync.Mutex
	born     int64
	sequence int
	state    string // empty while the worker has no entry
	// announced is set once the worker says in its answers that it leaves.
	announced bool
	// stopped is set while the worker has no process.
	stopped bool
	server  *http.Server
}

// NewWorker returns a worker that has not been started.
func NewWorker(r *Run, s *Store, id, service, zone string, slots int, h http.Handler) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Addr: FreeAddr(r), Slots: slots, Handler: h, run: r, store: s}
	go w.heartbeats()
	return w
}

// Start starts an incarnation of the worker, with the same ID and address each time.
func (w *Worker) Start() {
	l, err := net.Listen("tcp", w.Addr)
	if err != nil {
		w.run.Cannot("worker %s: %v", w.ID, err)
	}
	w.StartOn(l)
}

// StartOn is like Start for a worker that serves l.
func (w *Worker) StartOn(l net.Listener) {
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.born, w.sequence, w.server, w.announced, w.stopped = time.Now().UnixMilli(), 0, server, false, false
	w.mu.Unlock()
	go server.Serve(l)
	w.SetState("ready")
}

// Register makes the worker known at the store without serving its address.
func (w *Worker) Register() {
	w.mu.Lock()
	w.born, w.sequence = time.Now().UnixMilli(), 0
	w.mu.Unlock()
	w.SetState("ready")
}

// Stop ends the process of the worker.
func (w *Worker) Stop() {
	w.mu.Lock()
	server := w.server
	w.stopped = true
	w.mu.Unlock()
	server.Close()
}

// SetState makes the worker report a state to the store, and returns the time of the
// store's acknowledgement. An empty state removes its entry.
func (w *Worker) SetState(state string) time.Time {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	for !w.write() {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Now()
}

// Announce makes the worker say in its answers that it leaves, before the store knows.
func (w *Worker) Announce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = true
}

// Leaving reports whether the worker leaves.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.announced || w.state != "ready"
}

// heartbeats renews the entry, or removes it again if it has come back. It adds a record only
// if more than the sequence changes.
func (w *Worker) heartbeats() {
	for {
		time.Sleep(heartbeatInterval)
		w.write()
	}
}

type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"coldLeftMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// write writes the entry and reports whether the store has it.
func (w *Worker) write() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return true
	}
	w.sequence++
	e := entry{w.Service, w.Addr, w.Zone, "v1", w.Slots, w.state, 0, w.sequence, w.born}
	old, _ := w.store.Newest("keyed.servers", w.ID)
	if w.state == "" {
		if old == "" {
			return true
		}
		offset, ok := w.store.Put("keyed.servers", w.ID, "")
		if ok {
			w.run.Logf("store: entry of %s is removed at offset %d", w.ID, offset)
		}
		return ok
	}
	var stored entry
	if old != "" && json.Unmarshal([]byte(old), &stored) == nil {
		stored.Sequence = e.Sequence
		if stored == e {
			return true
		}
	}
	b, err := json.Marshal(e)
	if err != nil {
		return false
	}
	offset, ok := w.store.Put("keyed.servers", w.ID, string(b))
	if ok {
		w.run.Logf("store: entry of %s at offset %d: %s", w.ID, offset, b)
	}
	return ok
}

// ServeHTTP answers health checks and requests that expect another instance, and passes on
// the others.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		rw.Header().Set("Request-Id", id)
	}
	if w.Leaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.ID)
		if w.Leaving() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
		rw.Header().Set("Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.run.Logf("%s gets %s", w.ID, r.Header.Get("Request-Id"))
	w.Handler.ServeHTTP(rw, r)
}

// PutConfig writes a configuration as the operator does, with the key Key.
func PutConfig(r *Run, s *Store, version int, routes, services []map[string]any) {
	if !TryPutConfig(r, s, version, []string{Key}, routes, services) {
		r.Cannot("configuration: the store is away")
	}
}

// TryPutConfig writes a configuration as the operator does, with the given keys, and reports
// whether the store has acknowledged it.
func TryPutConfig(r *Run, s *Store, version int, keys []string, routes, services []map[string]any) bool {
	config := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "acme", "apiKeys": keys, "priority": 1}},
	}
	b, err := json.Marshal(config)
	if err != nil {
		r.Cannot("configuration: %v", err)
	}
	offset, ok := s.Put("keyed.op", "config", string(b))
	if ok {
		r.Logf("store: configuration %d at offset %d: %s", version, offset, b)
	}
	return ok
}

// Times of the streams that StreamEvents makes.
const (
	streamEvents = 8
	eventGap     = 200 * time.Millisecond
	// StreamTime is how long a stream takes.
	StreamTime = streamEvents * eventGap
)

// StreamEvents runs a request as a model worker does: it answers with events.
func StreamEvents(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Response-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		time.Sleep(eventGap)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// StreamRequest returns the request of a client for a stream.
func StreamRequest(id string) Request {
	return Request{Method: http.MethodPost, Host: "desk.example", Path: "/notes/17", Body: "prompt of " + id, Deadline: 8 * time.Second, Header: map[string]string{
		"Model": "m", "Token-Usage": "460,20", "Prompt-Prefix": "5c1e07a2:200,91bd3f06:110," + id[:8] + ":150"}}
}

// StreamWhole reports whether a client has the whole stream.
func StreamWhole(a Answer) bool {
	return a.Status == http.StatusOK && a.Err == nil && strings.Count(a.Body, "\n\n") == streamEvents
}

// PutStreamConfig writes a configuration with a route for streams that can't be resumed.
func PutStreamConfig(r *Run, s *Store, service string) {
	PutConfig(r, s, 1,
		[]map[string]any{{"name": "notes", "host": "desk.example", "pathPrefix": "/notes/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 1900, "priority": 0, "service": service, "attempts": 1, "stages": []any{}, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 500}},
		[]map[string]any{{"name": service, "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}})
}

// Key is the API key of the clients' tenant.
const Key = "9dnn2ctnfzs989anu6ws"
