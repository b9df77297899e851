package claim

import (
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
)

// RPCName is the name under which a Service is registered with net/rpc.
const RPCName = "Claims"

// askMethod is the RPC method that peers call.
const askMethod = RPCName + ".Ask"

// maxWait limits the time for which a question may wait at a holder.
const maxWait = 10 * time.Second

// Question is the argument of Service.Ask: it asks for a record to be appended,
// and for the verdict if the record is a claim.
type Question struct {
	// Kind is ClaimKind, ReleaseKind or OutcomeKind.
	Kind    string
	Request Request
	// Outcome is set for OutcomeKind only.
	Outcome Outcome
	// Wait is the time for which the caller waits.
	Wait time.Duration
}

// logEntry returns the entry that the question asks to append.
func (q *Question) logEntry() (platform.Entry, error) {
	r := q.Request
	switch q.Kind {
	case ClaimKind, ReleaseKind:
		return newEntry(q.Kind, r.AttemptID, r)
	case OutcomeKind:
		return newEntry(q.Kind, r.AttemptID, OutcomeRecord{r.Workspace, r.Key, r.AttemptID, q.Outcome.trim()})
	}
	return platform.Entry{}, fmt.Errorf("claim: unknown question kind %q", q.Kind)
}

// ReplyKind is the kind of a Reply.
type ReplyKind int

// The kinds of replies.
const (
	// NoReply means that there was no answer in time.
	NoReply ReplyKind = iota
	FirstReply
	RepeatReply
	RefusedReply
	// DoneReply means that an outcome or a release is in the log.
	DoneReply
)

// Reply is the result of Service.Ask.
type Reply struct {
	Kind    ReplyKind
	Outcome Outcome
	Refusal result.Error
	// Uncertain means that the record may still appear on the stream.
	Uncertain bool
}

func refusedReply(e *result.Error) Reply { return Reply{Kind: RefusedReply, Refusal: *e} }

// Service serves a Holder over net/rpc.
type Service struct {
	Holder *Holder
}

// Ask answers a question from a peer.
func (s *Service) Ask(q *Question, r *Reply) error {
	*r = s.Holder.Ask(q)
	s.Holder.Clock.Now() // blocks while the host is suspended
	return nil
}
