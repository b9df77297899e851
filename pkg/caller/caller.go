// Package caller is the client of berylswitch and the form of its answers. A
// caller posts the input of a pipeline to
// /v1/workspaces/WORKSPACE/pipelines/PIPELINE on any host and gets one Answer,
// or, when it accepts application/x-ndjson, one Event a line.
package caller

import (
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// Headers of a request.
const (
	// PriorityHeader is a whole number; higher goes first.
	PriorityHeader = "Berylswitch-Priority"
	// DeadlineHeader is the time that the caller gives the request, such as 6s.
	DeadlineHeader = "Berylswitch-Deadline"
	// KeyHeader is the idempotency key, a UUIDv7.
	KeyHeader = "Berylswitch-Key"
	// RequestHeader is the request's ID, on answers.
	RequestHeader = "Berylswitch-Request"
)

// StreamType is the media type of an answer that comes as a line of JSON for
// each Event.
const StreamType = "application/x-ndjson"

// Answer is the end of a request.
type Answer struct {
	Code       result.Code
	Name       string
	Ran        result.Ran
	Message    string        `json:",omitempty"`
	Place      string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	RequestID  string
	// Output is the whole text of the last stage; it is set only with OK.
	Output string `json:",omitempty"`
	// Repeated says that the answer is the stored one of an earlier attempt.
	Repeated bool          `json:",omitempty"`
	Stages   []StageReport `json:",omitempty"`
	Took     time.Duration
}

// StageReport says what one stage cost. Times are in nanoseconds.
type StageReport struct {
	Stage    string
	Target   string `json:",omitempty"`
	Attempts int
	// Queued is the time spent waiting for slots.
	Queued time.Duration
	// Ran is the time from the first send to the end of the stage.
	Ran time.Duration
	// Cost is the time that targets spent, attempts that were lost included.
	Cost time.Duration
	// Extra is the part of Cost that went to retries and hedges.
	Extra        time.Duration `json:",omitempty"`
	PromptTokens int           `json:",omitempty"`
	CachedTokens int           `json:",omitempty"`
}

// Event is a line of a streamed answer: a piece of the output or the Answer
// that ends it.
type Event struct {
	Seq    int
	Data   string  `json:",omitempty"`
	Answer *Answer `json:",omitempty"`
}

// Input is the body of a request. Fields that the targets understand may stand
// beside Text.
type Input = json.RawMessage
