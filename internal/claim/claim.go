// Package claim makes non-idempotent requests run at most once. Before the
// first byte of such a request goes to a target, the host needs a claim that is
// the first for the request's key in log order.
//
// The claims of all workspaces are spread over DefaultPartitions streams. A Table is
// the deterministic fold of one stream: every host that reads it reaches the
// same verdicts. A Holder answers questions about the partitions of its host:
// it batches the appends, tails the streams and folds them. A Client, the
// Claimer of a host, sends each question to the host that holds the key's
// partition, or to the next one when that can't be reached. Two hosts that both
// think that they hold a partition do no harm, since only log order decides.
//
// A claim is never handed on to another claimer, whatever the clocks say; time
// only decides when a repeat is told that the outcome is unknown, and for how
// long a key is remembered. docs/design/claims.md has the reasons.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// The times and bounds of claims. The log service must keep records for at
// least Window plus twice MaxSkew.
const (
	// DefaultPartitions is the number of streams over which keys are spread. It
	// is the same at every host for as long as a key is remembered.
	DefaultPartitions = 16
	// Window is the age up to which a key is accepted, by the time in the key.
	Window = 30 * time.Minute
	// MaxSkew is the largest difference between the clocks of a caller, a host
	// and the log service.
	MaxSkew = 2 * time.Second
	// MaxHold bounds the time from a claim to its Until.
	MaxHold = 10 * time.Minute
	// MaxAnswerBytes is the size up to which an answer is stored whole.
	MaxAnswerBytes = 16 << 10
	// MaxMessageBytes is the size to which a stored message is cut.
	MaxMessageBytes = 1 << 10
)

// Request is a claim on an idempotency key.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key, a UUIDv7.
	Key string
	// Digest identifies the body; a key is good for one body.
	Digest string
	// AttemptID is unique to this claim and the same when it is repeated. A
	// claimer that was refused, or that released its claim, uses another one.
	AttemptID string
	// Until is the time after which the claimer no longer waits and sends
	// nothing. It is at most MaxHold ahead.
	Until time.Time
}

// Valid reports whether a claimer that holds a first claim may still start to
// send. The claimer calls it with the time just read from its clock, directly
// before the first byte goes to a target; when it returns false the claimer
// sends nothing and releases the claim. Both the monotonic and the wall clock
// must be before Until: the first can't be set back, the second goes on while
// the machine is suspended.
func (r *Request) Valid(now time.Time) bool {
	return now.Before(r.Until) && now.Round(0).Before(r.Until.Round(0))
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
// A Result of LogUnavailable or TableFull with Ran No speaks of this attempt
// only: an earlier one with the same key may have run.
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
	// Claim asks for the verdict on r. An error, always a *result.Error that
	// says that nothing ran, means that no verdict could be had in time; the
	// request must not run, and the claim is released if it turns out to be the
	// first later.
	Claim(ctx context.Context, r Request) (Verdict, error)
	// Release gives up a first claim of which nothing was sent. The attempt must
	// send nothing after the call, whatever Release returns.
	Release(ctx context.Context, r Request) error
	// Finish records the outcome of a first claim. It returns once the outcome
	// is on the log or ctx ends.
	Finish(ctx context.Context, r Request, o Outcome) error
}

// trim cuts o to the sizes that are stored.
func (o Outcome) trim() Outcome {
	if len(o.Message) > MaxMessageBytes {
		o.Message = o.Message[:MaxMessageBytes]
	}
	o.Stored = len(o.Answer) <= MaxAnswerBytes
	if !o.Stored {
		o.Answer = nil
	}
	return o
}
