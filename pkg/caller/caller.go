// Package caller defines the HTTP interface of berylswitch for callers, and a
// Client for it. A caller posts the input of a pipeline to
// /v1/workspaces/WORKSPACE/pipelines/PIPELINE on any host and receives one Answer
// or, if it accepts application/x-ndjson, one Event per line.
package caller

import (
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// Headers of requests and answers.
const (
	// PriorityHeader holds the priority, an integer; higher goes first.
	PriorityHeader = "Berylswitch-Priority"
	// DeadlineHeader holds the time that the caller allows for the request, such as
	// 6s.
	DeadlineHeader = "Berylswitch-Deadline"
	// KeyHeader holds the idempotency key, a UUIDv7.
	KeyHeader = "Berylswitch-Key"
	// RequestHeader holds the request ID. It is set on answers.
	RequestHeader = "Berylswitch-Request"
)

// StreamType is the media type of a streamed answer, which has one line of JSON
// per Event.
const StreamType = "application/x-ndjson"

// Answer is the result of a request.
type Answer struct {
	Code       result.Code
	Name       string
	Ran        result.Ran
	Message    string        `json:",omitempty"`
	Place      string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	RequestID  string
	// Output is the complete text of the last stage. It is set only if Code is OK.
	Output string `json:",omitempty"`
	// Repeated means that the answer is the stored answer of an earlier attempt.
	Repeated bool          `json:",omitempty"`
	Stages   []StageReport `json:",omitempty"`
	Took     time.Duration
}

// StageReport describes what one stage cost. Times are in nanoseconds.
type StageReport struct {
	Stage    string
	Target   string `json:",omitempty"`
	Attempts int
	// Queued is the time spent waiting for slots.
	Queued time.Duration
	// Ran is the time from the first send until the end of the stage.
	Ran time.Duration
	// Cost is the time that targets spent, including lost attempts.
	Cost time.Duration
	// Extra is the part of Cost spent on retries and hedged attempts.
	Extra        time.Duration `json:",omitempty"`
	PromptTokens int           `json:",omitempty"`
	CachedTokens int           `json:",omitempty"`
}

// Event is one line of a streamed answer: a piece of the output, or the Answer
// that ends the stream.
type Event struct {
	Seq    int
	Data   string  `json:",omitempty"`
	Answer *Answer `json:",omitempty"`
}

// Input is the body of a request, a JSON object. It may contain fields for the
// targets in addition to Text.
type Input = json.RawMessage
