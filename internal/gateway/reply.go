package gateway

import (
	"encoding/json"
	"net/http"

	"berylswitch.example/berylswitch/pkg/result"
)

// reply is the answer to a caller while it is written.
type reply struct {
	w    http.ResponseWriter
	host *Host
	// begun says that bytes of a target's answer have gone out.
	begun  bool
	status int
}

// head writes the head of a target's answer.
func (o *reply) head(status int, header http.Header) {
	o.begun, o.status = true, status
	o.write(status, o.host.Format.Backward(header))
}

// write writes a head. Connections are closed one by one while the host drains.
func (o *reply) write(status int, header http.Header) {
	for name, values := range header {
		o.w.Header()[name] = values
	}
	if o.host.leaving.Load() {
		o.w.Header().Set("Connection", "close")
	}
	o.w.WriteHeader(status)
}

// refusal is the body of an answer of the host's own.
type refusal struct {
	Code    int
	Name    string
	Ran     result.Ran
	Message string
}

// refuse writes an answer of the host's own.
func (o *reply) refuse(id string, e *result.Error) {
	status := e.Code.Lookup().HTTPStatus
	if e.Code == result.CrashSuspect {
		// The request itself is well formed.
		status = http.StatusServiceUnavailable
	}
	o.status = status
	header := o.host.Format.Refusal(id, e.RetryAfter)
	header.Set("Content-Type", "application/json")
	o.write(status, header)
	json.NewEncoder(o.w).Encode(refusal{int(e.Code), e.Code.String(), e.Ran, e.Message})
}
