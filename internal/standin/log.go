package standin

import (
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
	"golang.org/x/time/rate"
)

// maxReadRecords bounds the records returned by one read.
const maxReadRecords = 1000

// retryAfter is the Retry-After that refused callers are given.
const retryAfter = time.Second

// Log simulates the log service. Exported fields are set before the first request.
type Log struct {
	// AppendsPerSecond limits the appends to all streams together; zero means no
	// limit. An append of several entries counts once.
	AppendsPerSecond int
	// Retention and MaxRecords limit the records a stream keeps; zero means no
	// limit.
	Retention  time.Duration
	MaxRecords int
	// File, unless empty, stores every record, so that Load can restore them.
	File string

	mu             sync.Mutex
	streams        map[string]*stream
	faults         LogFaults
	faultsByCaller map[netip.Addr]LogFaults
	limiter        *rate.Limiter
	appends        int
	file           *os.File
	// faultsChanged is closed and replaced when any faults change.
	faultsChanged chan struct{}
}

// LogFaults are the faults that the log service can inject.
type LogFaults struct {
	// Down refuses every call, waiting reads included.
	Down bool
	// Hang accepts calls but never answers them; nothing is appended.
	Hang bool
	// LoseAnswers appends the entries, then breaks the connection instead of
	// answering.
	LoseAnswers bool
	// LoseEvery loses the answer to each nth append; zero loses none.
	LoseEvery int
	// DropAppends breaks the connection without appending the entries.
	DropAppends bool
	// Slow is added to each call.
	Slow time.Duration
	// StaleBy hides records from readers until they reach this age.
	StaleBy time.Duration
	// StaleReads hides records that were appended after the fault was set.
	StaleReads bool

	setAt time.Time
}

// LogControl is the control message of the log service. Without a Caller the
// faults apply to every caller that has no faults of its own.
type LogControl struct {
	Caller netip.Addr `json:",omitzero"`
	Faults LogFaults
}

// LogStatus is the log service's answer at its control path: the number of appends
// and the next offset of each stream.
type LogStatus struct {
	Appends int
	Next    map[string]platform.Offset
}

// SetFaults sets the faults for callers that have none of their own.
func (l *Log) SetFaults(f LogFaults) { l.setFaults(netip.Addr{}, f) }

// SetFaultsFor sets the faults for the process at caller.
func (l *Log) SetFaultsFor(caller netip.Addr, f LogFaults) { l.setFaults(caller, f) }

func (l *Log) setFaults(caller netip.Addr, f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	f.setAt = time.Now()
	if caller.IsValid() {
		l.faultsByCaller[caller] = f
	} else {
		l.faults = f
	}
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// init prepares the maps and the limiter. The caller holds l.mu.
func (l *Log) init() {
	if l.streams != nil {
		return
	}
	l.streams = map[string]*stream{}
	l.faultsByCaller = map[netip.Addr]LogFaults{}
	l.faultsChanged = make(chan struct{})
	limit := rate.Inf
	if l.AppendsPerSecond > 0 {
		limit = rate.Limit(l.AppendsPerSecond)
	}
	l.limiter = rate.NewLimiter(limit, max(l.AppendsPerSecond/10, 1))
}

// faultsFor returns the faults for caller and a channel that is closed when any
// faults change.
func (l *Log) faultsFor(caller netip.Addr) (LogFaults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if f, ok := l.faultsByCaller[caller]; ok {
		return f, l.faultsChanged
	}
	return l.faults, l.faultsChanged
}

// ServeHTTP handles appends, reads and control messages.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		l.serveControl(w, r)
		return
	}
	faults, _ := l.faultsFor(callerAddr(r))
	pause(r, faults.Slow)
	if faults.Hang {
		hang(r)
		return
	}
	if faults.Down {
		replyUnavailable(w)
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

// replyUnavailable answers with status 503 and a Retry-After header.
func replyUnavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	http.Error(w, "service unavailable", http.StatusServiceUnavailable)
}

func (l *Log) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c LogControl
		if !readJSON(w, r, maxControlBytes, &c) {
			return
		}
		l.setFaults(c.Caller, c.Faults)
	}
	writeJSON(w, l.Status())
}

// Status returns the number of appends and the next offset of each stream.
func (l *Log) Status() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LogStatus{Appends: l.appends, Next: map[string]platform.Offset{}}
	for name, stream := range l.streams {
		s.Next[name] = stream.next()
	}
	return s
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, faults LogFaults) {
	var entries []platform.Entry
	if !readJSON(w, r, maxRunBytes, &entries) {
		return
	}
	if faults.DropAppends {
		panic(http.ErrAbortHandler)
	}
	first, n, ok := l.append(r.URL.Query().Get(platform.StreamParam), entries)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	if faults.LoseAnswers || faults.LoseEvery > 0 && n%faults.LoseEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.AppendReply{Offset: first})
}

// append appends entries to a stream. It returns the offset of the first entry and
// the number of appends so far, or false when the rate limit is exceeded.
func (l *Log) append(name string, entries []platform.Entry) (platform.Offset, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if !l.limiter.Allow() {
		return 0, 0, false
	}
	l.appends++
	s := l.stream(name)
	first := s.next()
	from := len(s.records)
	for _, e := range entries {
		s.records = append(s.records, platform.Record{Offset: s.next(), At: time.Now(), Entry: e})
	}
	if err := l.save(name, s.records[from:]); err != nil {
		panic(err) // the append can't be acknowledged without being stored
	}
	l.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, l.appends, true
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get(platform.FromParam), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(q.Get(platform.WaitParam))
	timeout, stop := clock.Timer(wait)
	defer stop()
	for {
		faults, faultsChanged := l.faultsFor(callerAddr(r))
		if faults.Down {
			replyUnavailable(w)
			return
		}
		batch, changed, recheck := l.read(q.Get(platform.StreamParam), platform.Offset(from), faults)
		if len(batch.Records) > 0 {
			writeJSON(w, batch)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-recheck:
		case <-timeout:
			writeJSON(w, batch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the records from an offset on that are visible with these faults,
// and two channels that signal when reading again may return more.
func (l *Log) read(name string, from platform.Offset, faults LogFaults) (platform.Batch, <-chan struct{}, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	visible, recheck := s.visible(faults)
	batch := platform.Batch{Oldest: s.oldest, Next: s.oldest + platform.Offset(len(visible))}
	from = max(from, s.oldest)
	if from < batch.Next {
		rest := visible[from-s.oldest:]
		batch.Records = append(batch.Records, rest[:min(len(rest), maxReadRecords)]...)
	}
	return batch, s.changed, recheck
}

// Records returns a copy of the records that a stream currently keeps.
func (l *Log) Records(name string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	return append([]platform.Record(nil), l.stream(name).records...)
}
