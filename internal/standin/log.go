// Package standin holds small stand-ins of what the system is put before: the
// platform's services and the targets. Each is an http.Handler that misbehaves
// on request in the ways that the real thing may.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
)

// maxReadRecords bounds the records of one read.
const maxReadRecords = 1000

// Log is the log service. Exported fields are set before the first request.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
}

// LogFaults are the ways in which the log service misbehaves.
type LogFaults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers takes appends but breaks the connection instead of answering.
	LoseAnswers bool
	// Slow is added to each call.
	Slow time.Duration
}

type stream struct {
	records []platform.Record
	oldest  platform.Offset // offset of records[0]
	changed chan struct{}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// stream returns the named stream; l.mu is held.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1, changed: make(chan struct{})}
	}
	return l.streams[name]
}

// ServeHTTP answers appends and reads.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Slow > 0 {
		pause(r, faults.Slow)
	}
	if faults.Down {
		http.Error(w, "the log service is down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case platform.AppendPath:
		l.serveAppend(w, r, faults)
	case platform.ReadPath:
		l.serveRead(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, faults LogFaults) {
	var entries []platform.Entry
	if err := json.NewDecoder(r.Body).Decode(&entries); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first := l.append(r.URL.Query().Get(platform.StreamParam), entries)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.AppendReply{Offset: first})
}

func (l *Log) append(name string, entries []platform.Entry) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next()
	for _, e := range entries {
		s.records = append(s.records, platform.Record{Offset: s.next(), At: time.Now(), Entry: e})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func (s *stream) next() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get(platform.FromParam), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(q.Get(platform.WaitParam))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, changed := l.read(q.Get(platform.StreamParam), platform.Offset(from))
		if len(batch.Records) > 0 {
			writeJSON(w, batch)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, batch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) read(name string, from platform.Offset) (platform.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := platform.Batch{Oldest: s.oldest, Next: s.next()}
	from = max(from, s.oldest)
	if from < s.next() {
		rest := s.records[from-s.oldest:]
		batch.Records = append(batch.Records, rest[:min(len(rest), maxReadRecords)]...)
	}
	return batch, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// pause waits for d or the end of the request.
func pause(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
