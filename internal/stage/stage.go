// Package stage runs the stages of requests: work that stage pools do before the
// request itself can run. A call to a pool costs far more than one piece of it,
// so pieces of many requests share a call. The holder of a service, which
// rendezvous hashing picks among the hosts, forms the calls of all hosts in its
// Batcher, so that hosts with few requests each fill calls together. A Client
// sends the pieces of a Job to the holder, or to the next one if the holder stops
// answering. Two hosts that both believe they hold a service do no harm: pieces
// may run more than once.
package stage

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
)

// Job is the work of one stage of one request.
type Job struct {
	// ID is unique across all hosts.
	ID        string
	RequestID string
	Service   string
	// Stage is the stage's index in the route.
	Stage int
	// Pieces is the number of pieces; they are numbered from zero.
	Pieces int
	// Key is the input of a stage that follows no other. Inputs are the handles
	// that any other stage reads.
	Key    string
	Inputs []string
	// Due is the remaining time until the results lose worth, Left the remaining
	// time until they have none. Both are as of the time of sending.
	Due, Left time.Duration
	// Rank is the priority of the request; zero is the most urgent.
	Rank int
	// Worth is the value of the request relative to others of its rank, in any
	// unit that the hosts share.
	Worth float64
	// PieceBytes is the approximate size of one result.
	PieceBytes int64
	// Domain is the failure domain in which the job should run, or empty for any.
	// Anywhere else, MoveBytes bytes of input have to cross domains.
	Domain    string
	MoveBytes int64
	// Domains are the failure domains in which the job may run. Empty means any.
	Domains []string
	// Promised reports whether the request was admitted by reservations. Reservation is
	// the ID of the one that the job takes up, if any, Promise the remaining time by which
	// the results have to be there.
	Promised    bool
	Reservation string
	Promise     time.Duration
	// Workspace is the workspace of the request.
	Workspace string
	// Begun reports whether another stage of the request may have run.
	Begun bool
}

// Result refers to the result of one piece, which stays at the target that
// produced it.
type Result struct {
	Handle string
	Target string
	Addr   netip.AddrPort
	Domain string
	// Bytes is the approximate size of the result.
	Bytes   int64
	Service string
	// Former is the name of the host whose batcher accounts for the result's
	// memory.
	Former string
}

// Fault is the reason why a job has no results.
type Fault int

// The faults of jobs.
const (
	// None means that the job has results.
	None Fault = iota
	// Late means that Job.Left ran out.
	Late
	// Gone means that an input no longer exists.
	Gone
	// Failed means that pieces failed too often.
	Failed
	// Cancelled means that the request was abandoned.
	Cancelled
	// Moved means that the batcher is shutting down and has not started the job.
	Moved
)

var faultNames = [...]string{"none", "late", "gone", "failed", "cancelled", "moved"}

// String returns the name of f for logs. A fault may come from another host, which
// may know more of them.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return fmt.Sprintf("fault %d", int(f))
	}
	return faultNames[f]
}

// Outcome is the outcome of a job.
type Outcome struct {
	Fault Fault
	// Results are in the order of the pieces.
	Results []Result
	// Sent reports whether a target may have started a piece.
	Sent bool
	// Queued is the time that the last piece waited for its call, Ran the duration
	// of that call.
	Queued, Ran time.Duration
	// Outlook is the wait estimate for a job that arrives now.
	Outlook Outlook
}

// Outlook is a batcher's wait estimate for one service.
type Outlook struct {
	// Ahead is the wait behind the jobs that can still be on time, All the wait
	// behind all jobs.
	Ahead, All time.Duration
	// PerPiece is the time per piece of all targets together.
	PerPiece time.Duration
	// Coming is the number of pieces that earlier stages will send, as last
	// reported by all hosts.
	Coming int
}

// Piece is one piece of a job as sent to a target.
type Piece struct {
	RequestID string
	Stage     int
	Number    int
	Key       string
	Inputs    []string
	// Left is the remaining time until the result has no worth.
	Left time.Duration
}

// PieceFault is the reason why a target produced no result.
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

// Reply is a target's reply to a call.
type Reply struct {
	// Results are in the order of the pieces.
	Results []PieceResult
	// Signal is what the target says of itself.
	Signal backpressure.Signal
}

// Pool calls the targets of stage pools.
type Pool interface {
	// Call runs pieces in one call. An error means that no result arrived; if it
	// wraps ErrRejected, the target did not start the call. The reply's signal is also
	// valid with an error. permit is called right before the first byte is sent; if it
	// returns an error, nothing is sent, and Call returns an error that wraps it.
	Call(ctx context.Context, t *catalog.Target, pieces []Piece, permit func() error) (Reply, error)
	// Free frees results at the target that produced them. permit is as for Call.
	Free(ctx context.Context, addr netip.AddrPort, handles []string, permit func() error) error
}
