// Package placement chooses the targets of requests with prompts for all hosts
// together. A host alone sees too few of them to know which target has much to
// read or is slow, and a target that reads a prompt tells its time only with the
// first event. So the holder of a service by rendezvous hashing keeps a Board of
// what all hosts have sent where; a Client asks it for each request and tells it
// what became of it. A board is soft state: a host that gets no answer chooses
// by itself, and two hosts that both believe they hold a service do no harm.
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
	// ID is unique among the sends of all hosts.
	ID        string
	Host      string
	RequestID string
	Service   string
	// Parts make up the prompt; the last one is the request's own.
	Parts []Part
	// Except are the IDs of targets that the host passes over.
	Except []string
	// Domain is where large inputs lie; empty if it doesn't matter.
	Domain string
}

// home names the last part of the prompt that other requests share.
func (w *Work) affinityKey() string {
	if n := len(w.Parts); n > 1 {
		return w.Parts[n-2].ID
	}
	return ""
}

// Choice is the answer to Work.
type Choice struct {
	// Target is the ID of the target, empty if there is none.
	Target string
	// Expected is the predicted time to the first event.
	Expected time.Duration
	// Reading is the work in tokens that goes before, Cached the number of tokens
	// that the target is believed to have read before.
	Reading, Cached int
}

// Progress is how far a request has come at its target.
type Progress int

// The progress of a request.
const (
	// Begun means that the first event is there.
	Begun Progress = iota
	// Answered means that the target did its work.
	Answered
	// Failed means that it didn't, or couldn't be reached.
	Failed
	// Rejected means that it had no place.
	Rejected
	// Abandoned means that the caller or the deadline ended the request.
	Abandoned
)

// News is what became of a request.
type News struct {
	ID       string
	Service  string
	Progress Progress
}

// Report carries news to a holder. A report without news says that the host is
// alive.
type Report struct {
	Host string
	News []News
}
