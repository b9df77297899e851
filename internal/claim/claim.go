// Package claim ensures that a non-idempotent request runs at most once. Before
// a host sends the first byte of such a request to a target, it must own the
// first claim on the request's idempotency key in log order.
//
// The claims of all workspaces are partitioned over DefaultPartitions streams. A
// Table is the deterministic fold of one stream: every host that reads the
// stream reaches the same verdicts. A Holder serves the partitions of its host:
// it batches appends, tails the streams and folds them. A Client, the Claimer
// of a host, sends each question to the host that holds the key's partition, or
// to the next one if that host can't be reached. Two hosts that both believe
// that they hold a partition are harmless, since only log order decides.
//
// A claim never passes to another claimer, whatever the clocks say. Time only
// decides when a repeat is told that the outcome is unknown, and how long a key
// is remembered. docs/design/claims.md gives the reasons.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// Times and limits of claims. The log service must retain records for at least
// Window plus twice MaxSkew.
const (
	// DefaultPartitions is the number of streams that keys are partitioned over.
	// All hosts must agree on it, and it must not change while a key is
	// remembered.
	DefaultPartitions = 16
	// Window is the maximum age of an accepted key, by the timestamp in the key.
	Window = 30 * time.Minute
	// MaxSkew is the maximum difference between the clocks of a caller, a host
	// and the log service.
	MaxSkew = 2 * time.Second
	// MaxHold limits the time from a claim to its Until.
	MaxHold = 10 * time.Minute
	// MaxAnswerBytes is the size up to which an answer is stored, in full.
	MaxAnswerBytes = 16 << 10
	// MaxMessageBytes is the size to which a stored message is truncated.
	MaxMessageBytes = 1 << 10
)

// Request is a claim on an idempotency key.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key, a UUIDv7.
	Key string
	// Digest identifies the body; a key is valid for one body only.
	Digest string
	// AttemptID is unique to this claim and the same in every copy of it. A
	// claimer that was refused, or that released its claim, uses a new one.
	AttemptID string
	// Until is the deadline after which the claimer stops waiting and sends
	// nothing. It is at most MaxHold in the future.
	Until time.Time
}

// Valid reports whether a claimer that owns the first claim may still start to
// send. The claimer calls it with the time just read from its clock, directly
// before it sends the first byte to a target; if Valid returns false, the
// claimer sends nothing and releases the claim. Both the monotonic and the wall
// clock must be before Until: the monotonic clock can't be set back, and the
// wall clock advances while the machine is suspended.
func (r *Request) Valid(now time.Time) bool {
	return now.Before(r.Until) && now.Round(0).Before(r.Until.Round(0))
}

// Verdict is the decision of the fold on a Request.
type Verdict interface{ isVerdict() }

// First means that the claim is the first on its key: the claimer may run the
// request.
type First struct{}

// Repeat carries the outcome of the attempt that owned the first claim.
type Repeat struct {
	Outcome Outcome
}

// Refused means that this claimer must not run the request; Result says why. A
// Result of LogUnavailable or TableFull with Ran No covers this attempt only: an
// earlier one with the same key may have run.
type Refused struct {
	Result *result.Error
}

func (First) isVerdict()   {}
func (Repeat) isVerdict()  {}
func (Refused) isVerdict() {}

// Outcome is the result of a claimed request, kept for repeats of its key. A
// Stored outcome has the whole answer; one whose answer was too large has only
// its code.
type Outcome struct {
	Code    result.Code
	Ran     result.Ran
	Message string          `json:",omitempty"`
	Answer  json.RawMessage `json:",omitempty"`
	Stored  bool
}

// Claimer claims idempotency keys at the holders of their partitions.
type Claimer interface {
	// Claim returns the verdict on r. An error, always a *result.Error that says
	// that nothing ran, means that no verdict arrived in time. The request must
	// then not run, and the claim is released if it later turns out to be the
	// first.
	Claim(ctx context.Context, r Request) (Verdict, error)
	// Release gives up a first claim whose request was not sent. The attempt must
	// send nothing after the call, whatever Release returns.
	Release(ctx context.Context, r Request) error
	// Finish records the outcome of a first claim. It returns once the outcome is
	// in the log or ctx ends.
	Finish(ctx context.Context, r Request, o Outcome) error
}

// trim limits o to the sizes that are stored.
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
