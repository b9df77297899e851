package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

// maxListVersions bounds the versions of a host list kept until Lag has passed.
const maxListVersions = 4096

// HostList simulates the platform's list of hosts. Readers see a list Lag after
// Set stored it. Exported fields are set before the first request.
type HostList struct {
	Lag time.Duration

	mu       sync.Mutex
	versions []listVersion // oldest first; the first is visible once it is Lag old
	faults   HostListFaults
	encoded  *encodedList
}

type listVersion struct {
	at    time.Time
	hosts []platform.HostEntry
}

// HostListFaults are the faults that the host list can inject.
type HostListFaults struct {
	// Down refuses every read.
	Down bool
	// Slow is added to each read.
	Slow time.Duration
	// Flap inverts the state of the named hosts (live or leaving) in every other
	// FlapPeriod.
	Flap       []string
	FlapPeriod time.Duration
}

// HostListControl is the control message of the host list. If Hosts is null, the
// list stays unchanged.
type HostListControl struct {
	Hosts  []platform.HostEntry
	Faults HostListFaults
}

// Set replaces the list.
func (l *HostList) Set(hosts []platform.HostEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{time.Now(), append([]platform.HostEntry{}, hosts...)})
	if len(l.versions) > maxListVersions {
		l.versions = l.versions[1:]
	}
}

// Newest returns the list that Set stored last, whether or not it is visible yet.
func (l *HostList) Newest() []platform.HostEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil
	}
	return append([]platform.HostEntry(nil), l.versions[len(l.versions)-1].hosts...)
}

// SetFaults replaces the faults.
func (l *HostList) SetFaults(f HostListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// visible returns the list that readers currently see, and the faults.
func (l *HostList) visible() ([]platform.HostEntry, HostListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-l.Lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(limit) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 || l.versions[0].at.After(limit) {
		return []platform.HostEntry{}, l.faults
	}
	return l.versions[0].hosts, l.faults
}

// ServeHTTP handles reads and control messages. It answers a read whose
// If-None-Match names the current list with 304.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		l.serveControl(w, r)
		return
	}
	if r.URL.Path != platform.HostsPath {
		http.NotFound(w, r)
		return
	}
	hosts, faults := l.visible()
	pause(r, faults.Slow)
	if faults.Down {
		replyUnavailable(w)
		return
	}
	list := l.encode(applyFlapping(hosts, &faults))
	w.Header().Set("ETag", list.etag)
	if r.Header.Get("If-None-Match") == list.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(list.body)
}

// encodedList is a list with its encoded body and ETag.
type encodedList struct {
	hosts []platform.HostEntry
	body  []byte
	etag  string
}

// encode encodes hosts, or returns the cached encoding if the list is the same.
func (l *HostList) encode(hosts []platform.HostEntry) *encodedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.encoded; p != nil && len(hosts) > 0 && len(p.hosts) == len(hosts) && &p.hosts[0] == &hosts[0] {
		return p
	}
	var body bytes.Buffer
	json.NewEncoder(&body).Encode(hosts)
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body.Bytes()), 16))
	l.encoded = &encodedList{hosts, body.Bytes(), etag}
	return l.encoded
}

// applyFlapping inverts the state of the flapping hosts in every other
// FlapPeriod.
func applyFlapping(hosts []platform.HostEntry, f *HostListFaults) []platform.HostEntry {
	if len(f.Flap) == 0 || f.FlapPeriod <= 0 || time.Now().UnixNano()/int64(f.FlapPeriod)%2 == 0 {
		return hosts
	}
	out := append([]platform.HostEntry(nil), hosts...)
	for i := range out {
		for _, name := range f.Flap {
			if out[i].Name != name {
				continue
			}
			if out[i].State == platform.Live {
				out[i].State = platform.Leaving
			} else {
				out[i].State = platform.Live
			}
		}
	}
	return out
}

func (l *HostList) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c HostListControl
		if !readJSON(w, r, maxControlBytes, &c) {
			return
		}
		l.SetFaults(c.Faults)
		if c.Hosts != nil {
			l.Set(c.Hosts)
		}
	}
	writeJSON(w, l.Newest())
}
