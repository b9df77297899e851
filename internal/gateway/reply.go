package gateway

import (
	"encoding/json"
	"net/http"

	"berylswitch.example/berylswitch/pkg/result"
)

// reply is the answer to a caller while it is written.
type callerResponse struct {
	w    http.ResponseWriter
	host *Host
	// begun says that bytes of a target's answer have gone out.
	started bool
	status  int
}

// head writes the head of a target's answer.
func (o *callerResponse) startTargetResponse(status int, header http.Header) {
	o.started, o.status = true, status
	o.writeHead(status, o.host.Format.ResponseHeader(header))
}

// write writes a head. Connections are closed one by one while the host drains.
func (o *callerResponse) writeHead(status int, header http.Header) {
	for name, values := range header {
		o.w.Header()[name] = values
	}
	if o.host.draining.Load() {
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
func (o *callerResponse) writeRefusal(id string, e *result.Error) {
	status := e.Code.Lookup().HTTPStatus
	if e.Code == result.CrashSuspect {
		// The request itself is well formed.
		status = http.StatusServiceUnavailable
	}
	o.status = status
	header := o.host.Format.RefusalHeader(id, e.RetryAfter)
	header.Set("Content-Type", "application/json")
	o.writeHead(status, header)
	json.NewEncoder(o.w).Encode(refusal{int(e.Code), e.Code.String(), e.Ran, e.Message})
}
