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

// refuseCrashing returns the refusal of a request that would crash targets, or nil.
func (h *Host) refuseCrashing(q *request) error {
	if h.Crashes.Blocked(q.digest) {
		return retryLater(result.CrashSuspect, 0, "earlier sends of this request crashed targets")
	}
	part := h.Crashes.BlockedPart(q.sharedParts())
	if part == "" {
		return nil
	}
	if !h.Crashes.TakeTrial(part) {
		return crashSuspect(part)
	}
	h.Log.Info("request with a blocked prompt part on trial", zap.String("RequestID", q.ID), zap.String("Part", part))
	q.onTrial = true
	return nil
}

// crashSuspect returns the refusal of a request with a blocked part in its prompt.
func crashSuspect(part string) error {
	return retryLater(result.CrashSuspect, 0, "requests with part %s of the prompt crashed targets", part)
}

// isBlocked reports whether a part of the prompt has been blocked since the request
// was accepted. A request on trial is sent once.
func (s *sender) isBlocked() bool {
	if s.q.onTrial && s.q.sends == 0 {
		return false
	}
	s.blockedPart = s.h.Crashes.BlockedPart(s.q.sharedParts())
	return s.blockedPart != ""
}

// recordBreak records that t broke off the request. The parts of its prompt may be
// the cause only if t itself is gone and had not begun to answer.
func (s *sender) recordBreak(t *catalog.Target) {
	b := crash.Break{Digest: s.q.digest, Target: t.ID, Born: t.Born}
	if parts := s.q.sharedParts(); !s.begun && len(parts) > 0 && s.h.refusesConnections(t) {
		b.Parts = parts
	}
	s.h.Crashes.RecordBreak(b)
}

// crashCheckTimeout bounds the dial that finds out whether a target crashed.
const crashCheckTimeout = 50 * time.Millisecond

// refusesConnections reports whether t refuses connections, as one that crashed does,
// but neither one that failed a request nor one that is cut off.
func (h *Host) refusesConnections(t *catalog.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := h.Net.Dial(ctx, t.Addr)
	if err == nil {
		conn.Close()
		return false
	}
	return link.IsRefused(err)
}

// errRecalled is the cause of a context that ended because a part of the prompt was
// blocked before the target began to answer.
var errRecalled = errors.New("a part of the prompt crashes targets")

// unbegunSends holds the sends of requests with shared parts in their prompts that
// have brought no event yet. The zero value is ready for use.
type unbegunSends struct {
	mu    sync.Mutex
	sends map[*sender]context.CancelCauseFunc
}

// add adds the current send of s, which cancel ends. A request on trial is not
// recalled.
func (u *unbegunSends) add(s *sender, cancel context.CancelCauseFunc) {
	if s.q.onTrial || len(s.q.sharedParts()) == 0 {
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

// recallBlocked ends the sends of requests with a blocked part that have brought no
// event yet, before they crash their targets too.
func (h *Host) recallBlocked() {
	h.unbegun.mu.Lock()
	defer h.unbegun.mu.Unlock()
	for s, cancel := range h.unbegun.sends {
		if h.Crashes.BlockedPart(s.q.sharedParts()) != "" {
			cancel(errRecalled)
		}
	}
}

// recordBegin records the first event of the current send, or its complete response.
func (s *sender) recordBegin() {
	s.begun = true
	s.h.unbegun.remove(s)
	s.h.Crashes.RecordBegin(s.q.sharedParts())
}
