// Package result defines the numbered result codes of berylswitch and Error, the
// error type that carries them. Every answer to a caller has one Code. A code
// states how much of the request was executed by targets, its Ran value.
// docs/RESULT-CODES.md documents Table.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran is how much of a request was executed by targets.
type Ran int

// The values of Ran.
const (
	// RanNo promises that no byte of the request was sent to any target.
	RanNo Ran = iota
	// RanYes means that every stage ran once.
	RanYes
	// RanPartly means that a stage ran, or may have run, without an answer.
	RanPartly
	// RanUnknown makes no statement about what ran.
	RanUnknown
)

var ranNames = [...]string{"No", "Yes", "Partly", "Unknown"}

// String returns the name used on the wire and in the documentation.
func (r Ran) String() string {
	if r < 0 || int(r) >= len(ranNames) {
		return fmt.Sprintf("Ran(%d)", int(r))
	}
	return ranNames[r]
}

// MarshalText encodes r as its name.
func (r Ran) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a name written by MarshalText.
func (r *Ran) UnmarshalText(text []byte) error {
	for i, name := range ranNames {
		if name == string(text) {
			*r = Ran(i)
			return nil
		}
	}
	return fmt.Errorf("result: %q is not a value of Ran", text)
}

// Code is the number of a result. Numbers are never reassigned.
type Code int

// The result codes, grouped by hundreds: in 1xx the request is at fault, in 2xx
// the request was rejected before anything ran, in 3xx the request may have run,
// and in 4xx the system is at fault.
const (
	OK Code = 0

	BadRequest      Code = 100
	UnknownPipeline Code = 101
	Unauthorized    Code = 102
	KeyRequired     Code = 103
	KeyMalformed    Code = 104
	KeyReused       Code = 105
	BodyTooLarge    Code = 106
	CrashSuspect    Code = 107
	KeyExpired      Code = 108
	BodyTimeout     Code = 109

	Draining         Code = 200
	Overloaded       Code = 201
	DeadlineTooShort Code = 202
	OverShare        Code = 203
	NoTarget         Code = 204
	LogUnavailable   Code = 205
	ConfigStale      Code = 206
	TableFull        Code = 207
	NoMemory         Code = 208
	ConfigInvalid    Code = 209

	DeadlineExceeded Code = 300
	StageFailed      Code = 301
	OutcomeUnknown   Code = 302
	InProgress       Code = 303
	AnswerBroken     Code = 304
	Cancelled        Code = 305
	CrashedTargets   Code = 306

	Internal Code = 400
)

// Row is the entry of one code in Table.
type Row struct {
	Code Code
	Name string
	// HTTPStatus is the HTTP status of an answer with the code.
	HTTPStatus int
	Ran        Ran
	Meaning    string
}

// Table lists every code in ascending order.
var Table = []Row{
	{OK, "OK", http.StatusOK, RanYes, "The whole answer follows."},
	{BadRequest, "BadRequest", http.StatusBadRequest, RanNo, "The request is malformed; Place names where."},
	{UnknownPipeline, "UnknownPipeline", http.StatusNotFound, RanNo, "No such pipeline is declared for this workspace."},
	{Unauthorized, "Unauthorized", http.StatusUnauthorized, RanNo, "The workspace is unknown or its token is wrong."},
	{KeyRequired, "KeyRequired", http.StatusBadRequest, RanNo, "The pipeline is not idempotent and the request has no idempotency key."},
	{KeyMalformed, "KeyMalformed", http.StatusBadRequest, RanNo, "The idempotency key is no UUIDv7, or its time lies in the future."},
	{KeyReused, "KeyReused", http.StatusConflict, RanNo, "The idempotency key was used with another body; this body did not run."},
	{BodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, RanNo, "The body exceeds the limit."},
	{CrashSuspect, "CrashSuspect", http.StatusUnprocessableEntity, RanNo, "Earlier sends of this body crashed targets; it is not run again."},
	{KeyExpired, "KeyExpired", http.StatusGone, RanUnknown, "The key is too old to be judged."},
	{BodyTimeout, "BodyTimeout", http.StatusRequestTimeout, RanNo, "The body paused for too long, or was not complete in its time."},
	{Draining, "Draining", http.StatusServiceUnavailable, RanNo, "The host is shutting down."},
	{Overloaded, "Overloaded", http.StatusServiceUnavailable, RanNo, "The queue can't serve the request before its deadline."},
	{DeadlineTooShort, "DeadlineTooShort", http.StatusServiceUnavailable, RanNo, "The stages usually take longer than the time left."},
	{OverShare, "OverShare", http.StatusTooManyRequests, RanNo, "The workspace is beyond its share while others wait."},
	{NoTarget, "NoTarget", http.StatusServiceUnavailable, RanNo, "No live target serves the first stage."},
	{LogUnavailable, "LogUnavailable", http.StatusServiceUnavailable, RanNo, "The log service can't record the claim, so the non-idempotent request was not run."},
	{ConfigStale, "ConfigStale", http.StatusServiceUnavailable, RanNo, "The host has had no contact to log or peers and takes no new work."},
	{TableFull, "TableFull", http.StatusServiceUnavailable, RanNo, "A bounded table of the host is full."},
	{NoMemory, "NoMemory", http.StatusServiceUnavailable, RanNo, "The host has no memory left for the body."},
	{ConfigInvalid, "ConfigInvalid", http.StatusServiceUnavailable, RanNo, "The host can't serve the route or workspace as it is configured."},
	{DeadlineExceeded, "DeadlineExceeded", http.StatusGatewayTimeout, RanPartly, "The deadline passed after a stage was started."},
	{StageFailed, "StageFailed", http.StatusBadGateway, RanPartly, "A stage failed and could not be retried."},
	{OutcomeUnknown, "OutcomeUnknown", http.StatusBadGateway, RanUnknown, "The first attempt with this key broke; whether it ran is not known."},
	{InProgress, "InProgress", http.StatusConflict, RanUnknown, "The first attempt with this key is still running."},
	{AnswerBroken, "AnswerBroken", http.StatusBadGateway, RanPartly, "A target's answer was incomplete or not for this attempt."},
	{Cancelled, "Cancelled", 499, RanPartly, "The caller went away."},
	{CrashedTargets, "CrashedTargets", http.StatusBadGateway, RanPartly, "The request broke two targets and is not tried again."},
	{Internal, "Internal", http.StatusInternalServerError, RanUnknown, "A fault of the host."},
}

// Lookup returns the row of c. It panics if there is none, which is a programming
// error.
func (c Code) Lookup() Row {
	for _, row := range Table {
		if row.Code == c {
			return row
		}
	}
	panic(fmt.Sprintf("result: code %d has no row", int(c)))
}

// String returns the name of c.
func (c Code) String() string { return c.Lookup().Name }

// Error is a result other than OK. Ran is never more definite than the Ran of the
// code's row; only NotRun creates errors with RanNo.
type Error struct {
	Code    Code
	Ran     Ran
	Message string
	// Place is the part of the input that is at fault, or empty.
	Place string
	// RetryAfter is the time after which a retry may succeed, or zero.
	RetryAfter time.Duration
}

// Error formats the number, name, place and message.
func (e *Error) Error() string {
	if e.Place != "" {
		return fmt.Sprintf("%d %s: %s: %s", int(e.Code), e.Code, e.Place, e.Message)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// NotRun returns an error for a request of which nothing ran. It may be called
// only before the first byte is sent to a target. It panics unless the code's row
// has RanNo.
func NotRun(code Code, format string, args ...any) *Error {
	if code.Lookup().Ran != RanNo {
		panic(fmt.Sprintf("result: %s does not mean that nothing ran", code))
	}
	return &Error{Code: code, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// Failed returns an error with the Ran of the code's row. It panics if that is
// RanNo.
func Failed(code Code, format string, args ...any) *Error {
	row := code.Lookup()
	if row.Ran == RanNo {
		panic(fmt.Sprintf("result: %s promises that nothing ran", code))
	}
	return &Error{Code: code, Ran: row.Ran, Message: fmt.Sprintf(format, args...)}
}

// From returns the *Error in err's chain, or else an Internal error with the text
// of err. It returns nil if err is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Failed(Internal, "%v", err)
}
