// Package contract defines the messages between a host and a target. A target
// is a model engine, a member of a stage pool or a plain service; all of them
// take a Run by HTTP POST at RunPath and answer with one Piece a line
// (newline-delimited JSON). The attempt ID of the Run comes back in each Piece.
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

// KeyParam is the parameter of AskPath that holds the idempotency key, FromParam
// that of EventsPath that holds the first event that is wanted.
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
	// ResumeFrom is the sequence number of the first piece that is wanted. A Run
	// with ResumeFrom above zero has the AttemptID of the attempt that it
	// resumes and goes to the same target, which answers with the pieces from
	// there on. A target that can't resume answers with status 409.
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
	// Failure is the reason for which the stage failed; it comes with End.
	Failure string `json:",omitempty"`
	// Cost is the time that the target spent on the attempt; it comes with End.
	Cost time.Duration `json:",omitempty"`
	// CachedTokens and PromptTokens count the prompt at a model engine.
	CachedTokens int `json:",omitempty"`
	PromptTokens int `json:",omitempty"`
}

// Work is the part of an input that stand-ins understand: how long the work
// takes on a target of speed one, how many tokens it generates and the prefix
// that its prompt shares with others.
type Work struct {
	Text    string        `json:",omitempty"`
	Service time.Duration `json:",omitempty"`
	// StageService overrides Service for the stages it names.
	StageService map[string]time.Duration `json:",omitempty"`
	Tokens       int                      `json:",omitempty"`
	Prefix       string                   `json:",omitempty"`
	Previous     string                   `json:",omitempty"`
	// Crash makes a target that runs the work break.
	Crash bool `json:",omitempty"`
}

// ServiceOf returns the time that a stage takes on a target of speed one.
func (w *Work) ServiceTime(stage string) time.Duration {
	if d, ok := w.StageService[stage]; ok {
		return d
	}
	return w.Service
}

// Report is a target's own, late word on its load.
type Report struct {
	Target      string
	Incarnation string
	At          time.Time
	Running     int
	Waiting     int
	Models      []string
	Role        string `json:",omitempty"`
}

// Cancel, posted to CancelPath, asks a target to give up an attempt. A target
// that doesn't know the attempt ignores it.
type Cancel struct {
	AttemptID string
}

// CacheEvent says that a model engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq     int
	At      time.Time
	Prefix  string
	Evicted bool `json:",omitempty"`
}

// CacheEvents is a model engine's late word on its prefix cache. Numbers that
// are missing were lost.
type CacheEvents struct {
	Target      string
	Incarnation string
	Events      []CacheEvent
	// Next is the number to ask from next time.
	Next int
}

// OrderKind names what an order wants.
type OrderKind string

// The kinds of orders.
const (
	LoadModel  OrderKind = "LoadModel"
	ChangeRole OrderKind = "ChangeRole"
)

// Order tells a target what state to be in. Orders are idempotent.
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
	Taken bool
	// Fence is the highest fencing number that the target has seen.
	Fence  int64
	Reason string `json:",omitempty"`
}

// AskReply is a target's answer to the question whether a key ran.
type AskReply struct {
	Ran    bool
	Answer string `json:",omitempty"`
}
