// Package gateway serves the callers of plain services and model engines. It
// finds the route of a request, runs the stages that precede it, sends it to a
// target and passes the complete response on. Each request enters a single host,
// which alone decides what is sent to targets. Unsafe requests therefore need no
// record that outlives the host, only a sender that never repeats a request that
// may have run.
//
// Host is one gateway process. A plan runs the stages of a request, and a sender
// sends the request to one target after another. Format reads and writes the
// headers on the wire; an adapter implements it.
package gateway

import (
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/placement"
)

// RequestInfo is the information in the header of a caller's request.
type RequestInfo struct {
	// ID names the request; each attempt of a caller has its own.
	ID string
	// Key is the API key of a workspace, or empty.
	Key string
	// Timeout is how long the caller waits for the response; zero if not given.
	Timeout time.Duration
	// Resumes is set if the caller already has the events of a stream up to
	// ResumeAfter.
	Resumes     bool
	ResumeAfter int64
	// Pieces holds the number of pieces of each stage of the route. PieceKey is the
	// input of the first stages.
	Pieces   []int
	PieceKey string
	// Prompt lists the parts of the prompt; the last one is the request's own.
	Prompt []placement.Part
	// LengthHint is the caller's estimate of the output in tokens, MaxOutput the largest
	// output that it takes; zero if not given.
	LengthHint, MaxOutput int
}

// ForwardInfo is the information that a host adds to a request for a target.
type ForwardInfo struct {
	Target    string
	Workspace string
	// TimeLeft is the time until the caller or the route gives up; zero if
	// unlimited.
	TimeLeft time.Duration
	// Inputs are the handles of the results that the request needs.
	Inputs []string
	// Resumes requests only the events after ResumeAfter.
	Resumes     bool
	ResumeAfter int64
	// SendsRank is set if the target is told Rank, the priority of the request; zero is
	// the most urgent.
	SendsRank bool
	Rank      int
}

// ResponseInfo is the information in the header of a target's response.
type ResponseInfo struct {
	// ID is the request that the response belongs to.
	ID string
	// Signed is set if the response comes from a target itself.
	Signed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// InputsGone is set if the request did not run because an input was missing.
	InputsGone bool
	// Signal is what the target says of itself.
	Signal backpressure.Signal
}

// Format reads and writes the headers of requests and responses.
type Format interface {
	ParseRequest(h http.Header) (RequestInfo, error)
	// RequestHeader returns the header to send to a target, given the caller's.
	RequestHeader(h http.Header, info ForwardInfo) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the header to send to a caller, given the target's.
	ResponseHeader(h http.Header) http.Header
	// RefusalHeader returns the header of a response that the host itself gives.
	RefusalHeader(id string, retryAfter time.Duration) http.Header
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath() string
}
