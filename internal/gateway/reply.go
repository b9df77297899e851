package gateway

import (
	"encoding/json"
	"net/http"

	"berylswitch.example/berylswitch/pkg/result"
)

// callerResponse is the response to a caller while it is being written.
type callerResponse struct {
	w    http.ResponseWriter
	host *Host
	conn *callerConn
	// started is set once part of a target's response has been sent.
	started bool
	status  int
}

// startTargetResponse writes the status and header of a target's response.
func (o *callerResponse) startTargetResponse(status int, header http.Header) {
	o.started, o.status = true, status
	o.writeHead(status, o.host.Format.ResponseHeader(header))
}

// writeHead writes a status and header. While the host drains, each connection is
// closed after its current response.
func (o *callerResponse) writeHead(status int, header http.Header) {
	for name, values := range header {
		o.w.Header()[name] = values
	}
	if o.host.shutdown.Load() != nil {
		o.w.Header().Set("Connection", "close")
	}
	o.w.WriteHeader(status)
}

// refusal is the body of a response that the host itself gives.
type refusal struct {
	Code    int
	Name    string
	Ran     result.Ran
	Message string
}

// writeRefusal writes a response that the host itself gives.
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
