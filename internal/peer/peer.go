// Package peer keeps the hosts of the system informed of each other: which are
// alive, which one holds a key, and short notes that reach every host. An
// Exchange runs a gossip protocol and publishes the Members; a Caller and a
// Server carry its calls, which are net/rpc over the networks of package link.
package peer

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is one host of the system as its peers know it.
type Host struct {
	Name string
	// Addr is the address of the host's RPC service.
	Addr   netip.AddrPort
	Domain string
	// Incarnation grows with each restart of the host of this name.
	Incarnation int64
	// Strength is the host's relative capacity to do work for others; zero if
	// unknown.
	Strength float64
}

// Members is an immutable list of the hosts that are believed alive, sorted by
// name. It includes the local host.
type Members struct {
	Hosts []Host
}

// NewMembers returns the members with hosts sorted by name.
func NewMembers(hosts []Host) *Members {
	m := &Members{Hosts: append([]Host(nil), hosts...)}
	sort.Slice(m.Hosts, func(i, j int) bool { return m.Hosts[i].Name < m.Hosts[j].Name })
	return m
}

// Holder returns the host that holds key by rendezvous hashing: when a host
// leaves, only the keys that it held move. The list must not be empty.
func (m *Members) Holder(key string) Host {
	best, bestWeight := 0, uint64(0)
	for i := range m.Hosts {
		w := Weight(m.Hosts[i].Name, key)
		if i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return m.Hosts[best]
}

// minStrengthShare is the least strength of a strong host, as a share of the
// greatest.
const minStrengthShare = 0.5

// Strong returns the members whose strength is at least minStrengthShare of the
// greatest, as candidates for work that one host does for all.
func (m *Members) Strong() *Members {
	most := 0.0
	for _, h := range m.Hosts {
		most = max(most, h.Strength)
	}
	out := &Members{}
	for _, h := range m.Hosts {
		if h.Strength >= minStrengthShare*most {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return out
}

// Find returns the member of that name.
func (m *Members) Find(name string) (Host, bool) {
	for _, h := range m.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// Without returns the members except the host of that name. If no other host
// is left, it returns m.
func (m *Members) Without(name string) *Members {
	out := &Members{}
	for _, h := range m.Hosts {
		if h.Name != name {
			out.Hosts = append(out.Hosts, h)
		}
	}
	if len(out.Hosts) == 0 {
		return m
	}
	return out
}

// Weight returns the rendezvous hash of host and key. The host with the
// greatest weight ranks first for key.
func Weight(host, key string) uint64 {
	d := xxhash.New()
	d.WriteString(host)
	d.Write([]byte{0})
	d.WriteString(key)
	return d.Sum64()
}

// Note is a short message that reaches every host within a few gossip rounds.
// Each host, the sender included, delivers a note at most once, in no
// particular order.
type Note struct {
	// ID is unique; Exchange.Spread sets it.
	ID   string
	Kind NoteKind
	Data []byte
	// Expires is the time after which the note is no longer forwarded.
	Expires time.Time
}

// NoteKind selects the handler that receives a note.
type NoteKind string

// The kinds of notes.
const (
	// LeavingNote carries the name and incarnation of a target that leaves.
	LeavingNote NoteKind = "Leaving"
	// CrashNote carries the digest of a request and the target that crashed.
	CrashNote NoteKind = "Crash"
	// LimitNote carries what a target has said of itself.
	LimitNote NoteKind = "Limit"
	// LoadNote carries a host's outstanding counts by target.
	LoadNote NoteKind = "Load"
)
