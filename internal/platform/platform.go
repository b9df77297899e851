// Package platform holds the clients of what the platform gives: the
// append-only log service and the host list. Both speak JSON over HTTP.
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

// Entry is a record that is to be appended. A fold drops a second record with
// the same ID.
type Entry struct {
	ID   string
	Kind string
	Data json.RawMessage
}

// Record is an entry as the log service keeps it.
type Record struct {
	Offset Offset
	// At is the time of the append by the log service's clock.
	At time.Time
	Entry
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Oldest is the first offset that is still kept.
	Oldest Offset
	// Next is the offset after the newest record of the stream.
	Next Offset
}

// Log is the log service. Append returns the offset of the first entry.
// An Append that failed may have taken effect unless the error is a Refusal.
// Read returns the records from offset on, waiting up to wait for the first.
type Log interface {
	Append(ctx context.Context, stream string, entries []Entry) (Offset, error)
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Batch, error)
}

// Names of the streams. Claims are spread over ClaimsPrefix + partition number.
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

// HostRole marks the hosts of the system on the host list. Their Addr is that
// of the RPC service.
const HostRole = "Host"

// HostEntry is a row of the host list. An incarnation is one life of a target:
// a restarted target has another.
type HostEntry struct {
	Name string
	// Role is HostRole for the hosts of the system itself and empty for targets.
	Role        string `json:",omitempty"`
	Addr        netip.AddrPort
	Incarnation string
	State       HostState
}

// HostList is the platform's lagging list of hosts. While the list has not
// changed, Hosts may return the very same entries, which nobody must change.
type HostList interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// Refusal is an error of the log service that says that nothing was appended.
type RefusedError struct {
	Reason string
	// RetryAfter is the time to wait before the next try.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *RefusedError) Error() string { return "log service refused: " + r.Reason }
