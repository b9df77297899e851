// Package platform holds the interfaces of two services of the platform, the
// append-only log service (Log) and the host list (HostList), and a Client of
// both. Both speak JSON over HTTP. A Tail follows one stream of the log.
package platform

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"
)

// Offset is the position of a record in a stream. The first record has offset
// one; zero is before every record.
type Offset int64

// Entry is a record to append. A fold drops a second record with the same ID.
type Entry struct {
	ID   string
	Kind string
	Data json.RawMessage
}

// Record is an entry as the log service stores it.
type Record struct {
	Offset Offset
	// At is the time of the append by the log service's clock.
	At time.Time
	Entry
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Oldest is the first offset that is still kept.
	Oldest Offset
	// Next is the offset after the newest record of the stream.
	Next Offset
}

// Log is the log service. Append returns the offset of the first entry. An
// Append that failed may have taken effect unless the error is a RefusedError.
// Read returns the records from the offset from on and waits up to wait for the
// first one.
type Log interface {
	Append(ctx context.Context, stream string, entries []Entry) (Offset, error)
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Batch, error)
}

// Names of the streams. The stream of a partition of the claims is ClaimsPrefix
// plus the partition's number.
const (
	ConfigStream = "Config"
	LeasesStream = "Leases"
	ClaimsPrefix = "Claims/"
)

// HostState is the state of a host on the host list.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// HostRole marks the hosts of the system on the host list. Their Addr is the
// address of the RPC service.
const HostRole = "Host"

// HostEntry is an entry of the host list.
type HostEntry struct {
	Name string
	// Role is HostRole for the hosts of the system itself and empty for targets.
	Role string `json:",omitempty"`
	Addr netip.AddrPort
	// Incarnation differs after each restart of a target.
	Incarnation string
	State       HostState
}

// HostList is the platform's list of hosts, which lags behind their true state.
// While the list has not changed, Hosts may return the same slice again; its
// entries must not be changed.
type HostList interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// RefusedError reports that the platform did not carry out a call. An Append that
// returns it appended nothing.
type RefusedError struct {
	Reason string
	// RetryAfter is the time to wait before the next attempt.
	RetryAfter time.Duration
}

// Error returns a message with the reason.
func (r *RefusedError) Error() string { return "platform refused the call: " + r.Reason }
