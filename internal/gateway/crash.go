package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// The decisions of this file answer requests that crash targets: one request that is
// sent again, or many with one part of their prompts in common.

// findSuspects sets what of q may crash targets.
func (q *request) findSuspects() {
	for _, part := range q.sharedParts() {
		q.suspects = append(q.suspects, crash.Suspect{Part: part})
	}
	q.suspects = append(q.suspects, crash.Suspect{Digest: q.digest})
}

// suspectParts returns those of q's suspects that are parts of its prompt.
func (q *request) suspectParts() []crash.Suspect { return q.suspects[:len(q.suspects)-1] }

// suspectSelf returns those of q's suspects that are no parts: q itself.
func (q *request) suspectSelf() []crash.Suspect { return q.suspects[len(q.suspects)-1:] }

// refuseCrashing returns the refusal of a request that would crash targets, or nil.
func (h *Host) refuseCrashing(q *request) error {
	suspect := h.Crashes.BlockedSuspect(q.suspects)
	if suspect == (crash.Suspect{}) {
		return nil
	}
	if !h.Crashes.TakeTrial(suspect) {
		return crashSuspect(suspect)
	}
	h.Log.Info("blocked request on trial", zap.String("RequestID", q.ID), zap.Stringer("Suspect", suspect))
	q.onTrial = true
	return nil
}

// crashSuspect returns the refusal of a request that brings the blocked suspect.
func crashSuspect(s crash.Suspect) error {
	return retryLater(result.CrashSuspect, 0, "earlier requests with %v crashed targets", s)
}

// isBlocked reports whether the request has been blocked since it was accepted. A
// request on trial is sent once.
func (s *sender) isBlocked() bool {
	if s.q.onTrial && s.q.sends == 0 {
		return false
	}
	s.blockedSuspect = s.h.Crashes.BlockedSuspect(s.q.suspects)
	return s.blockedSuspect != crash.Suspect{}
}

// recordBreak records that the send to t broke with err, if t crashed: what else ends
// a response, such as a connection that was reset, is not the fault of the request. The
// parts of its prompt may be the cause only if t had not begun to answer.
func (s *sender) recordBreak(t *catalog.Target, err error) {
	if errors.Is(err, errUnsigned) || !s.h.refusesConnections(t) {
		return
	}
	suspects := s.q.suspects
	if s.begun {
		suspects = s.q.suspectSelf()
	}
	s.h.Crashes.RecordCrash(crash.Incident{Target: t.ID, Born: t.Born}, suspects)
}

// crashCheckTimeout bounds the dial that finds out whether a target crashed.
const crashCheckTimeout = 50 * time.Millisecond

// refusesConnections reports whether t refuses connections, as one that crashed does,
// but neither one that failed a request nor one that is cut off. Sends that break at the
// same time share one attempt.
func (h *Host) refusesConnections(t *catalog.Target) bool {
	refused, _, _ := h.crashChecks.Do(t.Addr.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		conn, err := h.Net.Dial(ctx, t.Addr)
		if err == nil {
			conn.Close()
			return false, nil
		}
		return link.IsRefused(err), nil
	})
	return refused.(bool)
}

// errRecalled is the cause of a context that ended because the request was blocked
// before the target began to answer.
var errRecalled = errors.New("request or a part of its prompt crashes targets")

// unbegunSends holds the sends that have brought no event yet. The zero value is ready
// for use.
type unbegunSends struct {
	mu    sync.Mutex
	sends map[*sender]context.CancelCauseFunc
}

// add adds the current send of s, which cancel ends. A request on trial is not
// recalled.
func (u *unbegunSends) add(s *sender, cancel context.CancelCauseFunc) {
	if s.q.onTrial {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sends == nil {
		u.sends = map[*sender]context.CancelCauseFunc{}
	}
	u.sends[s] = cancel
}

func (u *unbegunSends) remove(s *sender) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sends, s)
}

// recallBlocked ends the sends of blocked requests that have brought no event yet,
// before they crash their targets too.
func (h *Host) recallBlocked() {
	h.unbegun.mu.Lock()
	defer h.unbegun.mu.Unlock()
	for s, cancel := range h.unbegun.sends {
		if h.Crashes.BlockedSuspect(s.q.suspects) != (crash.Suspect{}) {
			cancel(errRecalled)
		}
	}
}

// recordBegin records the first event of the current send. It clears the parts of the
// prompt; the request may still crash the target.
func (s *sender) recordBegin() {
	s.begun = true
	s.h.unbegun.remove(s)
	s.h.Crashes.RecordAnswer(s.q.suspectParts())
}

// recordAnswer records the complete response to the current send.
func (s *sender) recordAnswer() {
	s.begun = true
	s.h.Crashes.RecordAnswer(s.q.suspects)
}
