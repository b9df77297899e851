// Package claim makes non-idempotent requests run at most once. Before the
// first byte of such a request goes to a target, the host needs a claim that is
// the first for the request's key in log order.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// Request is a claim on an idempotency key.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key, a UUIDv7.
	Key string
	// Digest identifies the body; a key is good for one body.
	Digest string
	// AttemptID is unique to this claim and the same when it is repeated.
	AttemptID string
	// Until is the time after which the claimer no longer waits.
	Until time.Time
}

// Verdict is the fold's answer to a Request.
type Verdict interface{ isVerdict() }

// First lets the claimer run the request.
type First struct{}

// Repeat carries the outcome of the attempt that was first.
type Repeat struct {
	Outcome Outcome
}

// Refused says that the request is not run by this claimer; Result says why.
type Refused struct {
	Result *result.Error
}

func (First) isVerdict()   {}
func (Repeat) isVerdict()  {}
func (Refused) isVerdict() {}

// Outcome is the end of a claimed request, kept for repeats of its key. A
// Stored outcome has the whole answer; one that was too large has only its
// code.
type Outcome struct {
	Code    result.Code
	Ran     result.Ran
	Message string          `json:",omitempty"`
	Answer  json.RawMessage `json:",omitempty"`
	Stored  bool
}

// Claimer is the way from a request to the holder of its key.
type Claimer interface {
	// Claim asks for the verdict on r. An error means that no verdict could be
	// had in time; the request must not run, and the claim is released if it
	// turns out to be the first later.
	Claim(ctx context.Context, r Request) (Verdict, error)
	// Release gives up a first claim of which nothing was sent.
	Release(ctx context.Context, r Request) error
	// Finish records the outcome of a first claim. It returns once the outcome
	// is on the log or ctx ends.
	Finish(ctx context.Context, r Request, o Outcome) error
}
