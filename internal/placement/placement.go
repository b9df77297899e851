// Package placement chooses the targets of requests with prompts for all hosts
// together. A single host sees too few of them to know which target has much to
// prefill or is slow, and a target shows how long a prefill takes only with the
// first event. So the holder of a service, which rendezvous hashing picks among
// the hosts, keeps a LoadTable of the requests that all hosts have sent to each
// target. A Client asks the holder for the target of each request and reports the
// request's progress. A load table is soft state: a host that gets no answer
// makes a local choice, and two hosts that both believe they hold a service do no
// harm.
package placement

import (
	"time"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Work is a request that needs a target.
type Work struct {
	// ID is unique across the sends of all hosts.
	ID        string
	Host      string
	RequestID string
	Service   string
	// Parts make up the prompt; the last one is not shared.
	Parts []Part
	// Except holds the IDs of targets that must not be chosen.
	Except []string
	// Domain is the failure domain of large inputs, or empty if it doesn't matter.
	Domain string
	// Domains are the failure domains in which the request may run. Empty means any.
	Domains []string
	// MaxWait is the longest time that the request can wait for its turn at a target.
	MaxWait time.Duration
	// Route and Workspace name the class of the request, for the prediction of its output.
	Route, Workspace string
	// LengthHint is the caller's estimate of the output in tokens, MaxOutput the largest
	// output that the caller takes; zero if they are unknown.
	LengthHint, MaxOutput int
	// EventsBefore is the number of events that the caller has from earlier sends.
	EventsBefore int
}

// affinityKey returns the ID of the last part of the prompt that other requests
// may share, or the empty string if there is none.
func (w *Work) affinityKey() string {
	if n := len(w.Parts); n > 1 {
		return w.Parts[n-2].ID
	}
	return ""
}

// Choice is the reply to Work.
type Choice struct {
	// Target is the ID of the target, or empty if there is none.
	Target string
	// Born is the incarnation of the target. It is zero unless the holder chooses by
	// WorkPolicy.
	Born int64
	// Expected is the predicted time to the first event.
	Expected time.Duration
	// Wait is the time until the request may go to the target.
	Wait time.Duration
	// Cold is set if the turn keeps to the rate of a cold target.
	Cold bool
	// Reading is the work pending ahead of the request, in tokens. Cached is the
	// number of its tokens that the target is assumed to have cached.
	Reading, Cached int
	// Output is the predicted number of output tokens, HighOutput the number that is
	// exceeded by about one request in six. Work is the time that the request is
	// predicted to occupy the target, and Slowness the factor on the times of a reference
	// engine now. All are zero unless the holder chooses by WorkPolicy.
	Output, HighOutput int
	Work               time.Duration
	Slowness           float64
}

// Progress is the progress of a request at its target.
type Progress int

// The steps of progress.
const (
	// Begun means that the first event has arrived.
	Begun Progress = iota
	// Answered means that the target completed the request.
	Answered
	// Failed means that the target failed the request or couldn't be reached.
	Failed
	// Rejected means that the target had no capacity.
	Rejected
	// Abandoned means that the caller or the deadline ended the request.
	Abandoned
)

// News is an update on the progress of a request.
type News struct {
	ID       string
	Service  string
	Progress Progress
	// Events is the number of events seen so far; hosts of former versions count none.
	Events int
}

// Report carries updates to a holder. Every report, also one without updates, is
// a heartbeat of the host.
type Report struct {
	Host string
	News []News
	// Open, unless nil, lists all requests that the host has at the holder. Updates
	// and choices can be lost on the way; the list corrects what the holder counts.
	Open *OpenRequests
	// Moved holds those of the requests in Open that the holder may not know, since another
	// holder chose for them or the host was silent. Holders of former versions ignore it.
	Moved []MovedRequest
}

// MovedRequest is an open request with what a holder needs to count it.
type MovedRequest struct {
	Work   Work
	Choice Choice
	// Age is the time since the choice.
	Age time.Duration
}

// OpenRequests holds the IDs of requests that have not ended.
type OpenRequests struct {
	// Waiting requests have no first event yet, Begun ones have.
	Waiting, Begun []string
	// Events holds the numbers of events that the requests in Begun have seen. It is
	// empty from hosts of former versions.
	Events []int
}
