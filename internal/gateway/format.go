// Package gateway serves the callers of plain services and model engines: it
// finds the route of a request, runs the stages before it, sends it to a target
// and passes the answer on whole. A request enters one host, which alone
// decides what it sends on; unsafe requests therefore need no record that
// outlives the host, only a sender that never repeats what may have run.
//
// What requests look like on the wire is known to a Format, which an adapter
// implements.
package gateway

import (
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/placement"
)

// Ask is what the header of a caller's request says.
type RequestInfo struct {
	// ID names the request; each attempt of a caller has its own.
	ID string
	// Key is the key of a workspace, or empty.
	Key string
	// Wait is how long the caller waits for the answer; zero if unsaid.
	Timeout time.Duration
	// Resumes says that the caller has the events of a stream up to ResumeAfter.
	Resumes     bool
	ResumeAfter int64
	// Pieces are the numbers of pieces of the route's stages, PieceKey is the
	// input of the first ones.
	Pieces   []int
	PieceKey string
	// Prompt lists the parts of a prompt, the request's own last.
	Prompt []placement.Part
}

// Send is what a host adds to a request for a target.
type ForwardInfo struct {
	Target    string
	Workspace string
	// Left is the time until the caller or the route gives up; zero if unlimited.
	TimeLeft time.Duration
	// Inputs are the handles of the results that the request needs.
	Inputs []string
	// Resumes asks for the events after ResumeAfter.
	Resumes     bool
	ResumeAfter int64
}

// Reply is what the header of a target's answer says.
type ResponseInfo struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed answers are the work of a target.
	Signed bool
	// NotRun means that the target did not run the request and won't.
	NotRun bool
	// InputsGone means that it did not run for want of an input.
	InputsGone bool
}

// Format reads and writes the headers of requests and answers.
type Format interface {
	ParseRequest(h http.Header) (RequestInfo, error)
	// Forward returns the header that a target gets for a caller's header.
	RequestHeader(h http.Header, s ForwardInfo) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	// Backward returns the header that a caller gets for a target's header.
	ResponseHeader(h http.Header) http.Header
	// Refusal returns the header of an answer of the host's own.
	RefusalHeader(id string, retryAfter time.Duration) http.Header
	// ReadyPath is where the balancer asks.
	ReadyPath() string
}
