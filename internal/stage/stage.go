// Package stage runs the stages of requests: work that has to be done at stage
// pools before a request itself can run. Pieces of many requests share a call,
// since a call costs far more than a piece of it. So that hosts with few
// requests each fill calls together, the holder of a service by rendezvous
// hashing forms the calls of all hosts (a Former); a Client sends the pieces
// there, and to the next holder once one is silent. Two hosts that both believe
// they hold a service do no harm: pieces may be made again.
package stage

import (
	"context"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// Job is the work of one stage of one request.
type Job struct {
	// ID is unique among the jobs of all hosts.
	ID        string
	RequestID string
	Service   string
	// Stage is the stage's index in the route.
	Stage int
	// Pieces is the number of pieces; they are numbered from zero.
	Pieces int
	// Key is the input of a stage that follows no other, Inputs are the handles
	// that the other stages read.
	Key    string
	Inputs []string
	// Due is the time left until the results are worth less, Left the time until
	// they are worth nothing, both at the moment of sending.
	Due, Left time.Duration
	// Rank is the priority of the request; zero is the most urgent.
	Rank int
	// Worth is what the request is worth against others of its rank, in any unit
	// that the hosts share.
	Worth float64
	// PieceBytes is the approximate size of one result.
	PieceBytes int64
	// Domain is the failure domain in which the job should run, since MoveBytes
	// would have to cross domains otherwise; empty if it doesn't matter.
	Domain    string
	MoveBytes int64
}

// Result is one piece's result, which lies at its maker.
type Result struct {
	Handle string
	Target string
	Addr   netip.AddrPort
	Domain string
	// Bytes is the approximate size.
	Bytes   int64
	Service string
	// Former is the name of the host whose former counts the result's room.
	Former string
}

// Fault says why a job has no results.
type Fault int

// The faults of jobs.
const (
	// None means that there are results.
	None Fault = iota
	// Late means that the time ran out.
	Late
	// Gone means that an input no longer exists.
	Gone
	// Failed means that the targets failed the pieces too often.
	Failed
	// Cancelled means that the request was given up.
	Cancelled
	// Moved means that the former is shutting down and has not begun the job.
	Moved
)

var faultNames = [...]string{"none", "late", "gone", "failed", "cancelled", "moved"}

// String returns the name of f for logs.
func (f Fault) String() string { return faultNames[f] }

// Outcome is what became of a job.
type Outcome struct {
	Fault Fault
	// Results are in the order of the pieces.
	Results []Result
	// Sent says that a target may have begun a piece.
	Sent bool
	// Queued is the time that the last piece waited for its call, Ran the time of
	// that call.
	Queued, Ran time.Duration
	// Outlook is what a job that comes now would meet.
	Outlook Outlook
}

// Outlook is a former's estimate of the waits for one service.
type Outlook struct {
	// Ahead is the wait behind the jobs that can still be on time, All that behind
	// every job.
	Ahead, All time.Duration
	// PerPiece is the time in which the targets together make one piece.
	PerPiece time.Duration
	// Coming is the number of pieces that earlier stages will send, as all hosts
	// last told.
	Coming int
}

// Piece is one piece as a target is asked for it.
type Piece struct {
	RequestID string
	Stage     int
	Number    int
	Key       string
	Inputs    []string
	// Left is the time until the result is worth nothing.
	Left time.Duration
}

// PieceFault says why a target made no result.
type PieceFault int

// The faults of pieces.
const (
	PieceDone PieceFault = iota
	PieceLate
	PieceInputGone
	PieceNoMemory
	PieceError
)

// PieceResult is a target's answer for one piece.
type PieceResult struct {
	Handle string
	Fault  PieceFault
}

// Pool calls the targets of stage pools.
type Pool interface {
	// Call runs pieces in one call. An error means that no result arrived;
	// ErrRejected in it means that the target didn't begin.
	Call(ctx context.Context, t *catalog.Target, pieces []Piece) ([]PieceResult, error)
	// Free drops results at their maker.
	Free(ctx context.Context, addr netip.AddrPort, handles []string) error
}
