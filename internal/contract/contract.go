// Package contract defines the messages between a host and a target. A target is
// a model engine, a member of a stage pool or a plain service; all of them accept
// a Run by HTTP POST at RunPath and answer with one Piece per line
// (newline-delimited JSON). Each Piece repeats the attempt ID of the Run.
package contract

import (
	"encoding/json"
	"time"
)

// Paths of a target's HTTP interface.
const (
	RunPath    = "/run"
	CancelPath = "/cancel"
	AskPath    = "/ask"
	ReportPath = "/report"
	EventsPath = "/events"
	OrderPath  = "/order"
)

// KeyParam is the query parameter of AskPath for the idempotency key, FromParam
// that of EventsPath for the number of the first requested event.
const (
	KeyParam  = "Key"
	FromParam = "From"
)

// Run asks a target to execute one attempt of one stage.
type Run struct {
	AttemptID string
	RequestID string
	Workspace string
	Stage     string
	Model     string `json:",omitempty"`
	// Key is the idempotency key of a non-idempotent request.
	Key      string `json:",omitempty"`
	Priority int
	// TimeLeft is the time until the caller's deadline, in nanoseconds.
	TimeLeft time.Duration
	// ResumeFrom is the sequence number of the first requested piece. A Run with
	// ResumeFrom above zero has the AttemptID of the attempt that it resumes and
	// goes to the same target, which answers with the pieces from there on. A
	// target that can't resume answers with status 409.
	ResumeFrom int `json:",omitempty"`
	Input      json.RawMessage
}

// Piece is a part of the answer to a Run.
type Piece struct {
	AttemptID string
	// Seq counts the pieces of an attempt from zero without gaps.
	Seq  int
	Data string `json:",omitempty"`
	// End marks the last piece.
	End bool `json:",omitempty"`
	// Failure is the reason why the stage failed; it comes with End.
	Failure string `json:",omitempty"`
	// Cost is the time that the target spent on the attempt; it comes with End.
	Cost time.Duration `json:",omitempty"`
	// CachedTokens and PromptTokens are the numbers of cached tokens and of all
	// tokens of the prompt at a model engine.
	CachedTokens int `json:",omitempty"`
	PromptTokens int `json:",omitempty"`
}

// Work is the part of an input that stand-ins interpret: how long the work takes
// on a target of speed one, how many tokens it generates and the prefix that its
// prompt shares with others. Previous is the output of the preceding stage.
type Work struct {
	Text    string        `json:",omitempty"`
	Service time.Duration `json:",omitempty"`
	// StageService overrides Service for the stages it names.
	StageService map[string]time.Duration `json:",omitempty"`
	Tokens       int                      `json:",omitempty"`
	Prefix       string                   `json:",omitempty"`
	Previous     string                   `json:",omitempty"`
	// Crash makes a target crash when it runs the work.
	Crash bool `json:",omitempty"`
}

// ServiceTime returns the time that a stage takes on a target of speed one.
func (w *Work) ServiceTime(stage string) time.Duration {
	if d, ok := w.StageService[stage]; ok {
		return d
	}
	return w.Service
}

// Report is a target's own report on its load. It arrives with a delay.
type Report struct {
	Target      string
	Incarnation string
	At          time.Time
	Running     int
	Waiting     int
	Models      []string
	Role        string `json:",omitempty"`
}

// Cancel, posted to CancelPath, asks a target to abort an attempt. A target that
// doesn't know the attempt ignores it.
type Cancel struct {
	AttemptID string
}

// CacheEvent reports that a model engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq     int
	At      time.Time
	Prefix  string
	Evicted bool `json:",omitempty"`
}

// CacheEvents is a model engine's report on its prefix cache. It arrives with a
// delay. Gaps in the sequence numbers mean lost events.
type CacheEvents struct {
	Target      string
	Incarnation string
	Events      []CacheEvent
	// Next is the sequence number to request from next time.
	Next int
}

// OrderKind names the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	LoadModel  OrderKind = "LoadModel"
	ChangeRole OrderKind = "ChangeRole"
)

// Order requests a state from a target. Orders are idempotent.
type Order struct {
	ID     string
	Kind   OrderKind
	Model  string `json:",omitempty"`
	Role   string `json:",omitempty"`
	Target string
	// Fence is the fencing number of the sender's lease.
	Fence int64
}

// OrderReply is a target's answer to an Order.
type OrderReply struct {
	// Taken reports whether the target accepted the order.
	Taken bool
	// Fence is the highest fencing number that the target has seen.
	Fence  int64
	Reason string `json:",omitempty"`
}

// AskReply is a target's answer to a query by idempotency key: whether a Run with
// it was executed, and the answer.
type AskReply struct {
	Ran    bool
	Answer string `json:",omitempty"`
}
