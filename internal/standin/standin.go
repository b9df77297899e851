// Package standin implements small stand-ins (test doubles) for the systems around
// a host: the platform's services (Log, HostList, WeightStore) and the targets
// (Worker, Service, Engine). Each is an http.Handler that injects faults on
// request, such as the real system may show. Random choices come from seeds and
// all waiting uses the time package, so inside a testing/synctest bubble a
// stand-in gives the same answers at the same virtual times on each run.
//
// A handler can break a connection but can't refuse one. A Server around it
// refuses connections by closing its listener while the stand-in is down.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// ControlPath is the path at which a stand-in's faults are set (POST) and its
// counts are read (GET), as JSON. Each stand-in documents its control message.
const ControlPath = "/control"

// maxControlBytes bounds a control message.
const maxControlBytes = 1 << 20

// maxRunBytes bounds the body of a run, an order or an append.
const maxRunBytes = 64 << 20

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body into v. It answers an invalid body with status 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// pause waits until d has passed or the request has ended.
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

// hang blocks until the caller disconnects. It reads the body first, since the
// server notices a disconnect only after that.
func hang(r *http.Request) {
	io.Copy(io.Discard, io.LimitReader(r.Body, maxRunBytes))
	<-r.Context().Done()
}

// callerAddr returns the IP address of the process that sent r.
func callerAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr()
}
