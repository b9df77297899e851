package claim

import (
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
)

// ServiceName is the name under which a Service is registered with net/rpc.
const ServiceName = "Claims"

// askMethod is the method that peers call.
const askMethod = ServiceName + ".Ask"

// maxWait bounds the time for which a question may wait at a holder.
const maxWait = 10 * time.Second

// Question is the argument of Service.Ask.
type Question struct {
	// Kind is ClaimKind, ReleaseKind or OutcomeKind.
	Kind    string
	Request Request
	// Outcome goes with OutcomeKind.
	Outcome Outcome
	// Wait is the time for which the asker waits.
	Wait time.Duration
}

// entry returns the record that the question asks for.
func (q *Question) logEntry() (platform.Entry, error) {
	r := q.Request
	switch q.Kind {
	case ClaimKind, ReleaseKind:
		return newEntry(q.Kind, r.AttemptID, r)
	case OutcomeKind:
		return newEntry(q.Kind, r.AttemptID, OutcomeRecord{r.Workspace, r.Key, r.AttemptID, q.Outcome.trim()})
	}
	return platform.Entry{}, fmt.Errorf("claim: unknown question %q", q.Kind)
}

// ReplyKind says what a Reply holds.
type ReplyKind int

// The kinds of replies.
const (
	// NoReply means that there was no answer in time.
	NoReply ReplyKind = iota
	FirstReply
	RepeatReply
	RefusedReply
	// DoneReply means that an outcome or a release is on the log.
	DoneReply
)

// Reply is the result of Service.Ask.
type Reply struct {
	Kind    ReplyKind
	Outcome Outcome
	Refusal result.Error
	// Uncertain says that the record may yet appear on the stream.
	Uncertain bool
}

func refusedReply(e *result.Error) Reply { return Reply{Kind: RefusedReply, Refusal: *e} }

// Service is the net/rpc face of a Holder.
type Service struct {
	Holder *Holder
}

// Ask answers a question of a peer.
func (s *Service) Ask(q *Question, r *Reply) error {
	*r = s.Holder.Ask(q)
	s.Holder.Clock.Now() // waits while the host is suspended
	return nil
}
