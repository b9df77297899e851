// Package standin holds small stand-ins of what the system is put before: the
// platform's services (Log, HostList, WeightStore) and the targets (Worker,
// Service, Engine). Each is an http.Handler that misbehaves on request in the
// ways that the real thing may. Chance comes from seeds and all waiting from
// the time package, so inside a testing/synctest bubble a stand-in gives the
// same answers at the same virtual times on each run.
//
// A handler can break a connection but can't refuse one; a Server around it
// does, by closing its listener while the stand-in is down.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// ControlPath is where a stand-in takes its faults (POST) and tells its counts
// (GET), as JSON. Each stand-in documents its message.
const ControlPath = "/control"

// maxControlBytes bounds a control message.
const maxControlBytes = 1 << 20

// maxRunBytes bounds the body of a run, an order or an append.
const maxRunBytes = 64 << 20

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body into v and answers a fault of it itself.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// pause waits for d or the end of the request.
func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	done, stop := clock.Timer(d)
	defer stop()
	select {
	case <-done:
	case <-r.Context().Done():
	}
}

// hang holds the request until its caller leaves, which the server notices
// only once the body is read.
func hang(r *http.Request) {
	io.Copy(io.Discard, io.LimitReader(r.Body, maxRunBytes))
	<-r.Context().Done()
}

// callerOf returns the IP number of the process that sent r.
func callerAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr()
}
