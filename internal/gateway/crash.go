package gateway

import (
	"context"
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

// recordBegin records the first event of the current send, or its complete response.
func (s *sender) recordBegin() {
	s.begun = true
	s.h.Crashes.RecordBegin(s.q.sharedParts())
}
