// Package peer is the exchange among the hosts of the system: who is alive,
// who holds a key, and short notes that reach every host. Hosts talk over
// net/rpc on the links of package link.
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
	// Incarnation is larger for each later life of a host of this name.
	Incarnation int64
	// Strength compares what hosts can do for others; zero if unknown.
	Strength float64
}

// Members is an immutable list of the hosts that are believed alive, sorted by
// name; the host itself is among them.
type Members struct {
	Hosts []Host
}

// NewMembers returns the members with hosts sorted by name.
func NewMembers(hosts []Host) *Members {
	m := &Members{Hosts: append([]Host(nil), hosts...)}
	sort.Slice(m.Hosts, func(i, j int) bool { return m.Hosts[i].Name < m.Hosts[j].Name })
	return m
}

// Holder returns the host that holds key by rendezvous hashing. When a host
// leaves only the keys that it held move. There must be a host.
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

// strongShare is the share of the greatest strength that a strong host has.
const minStrengthShare = 0.5

// Strong returns the members that are about as strong as the strongest, for work
// that one host does for all.
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

// Without returns the members but for the host of that name. Without other
// hosts it returns m.
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

// Weight ranks host among others for key, in the way of rendezvous hashing: the
// one with the greatest weight goes first.
func Weight(host, key string) uint64 {
	d := xxhash.New()
	d.WriteString(host)
	d.Write([]byte{0})
	d.WriteString(key)
	return d.Sum64()
}

// Note is a short message that reaches every host within a few rounds of
// exchange. A note is delivered at most once at each host, the sender
// included, in no particular order.
type Note struct {
	// ID is unique; Exchange.Spread fills it.
	ID   string
	Kind NoteKind
	Data []byte
	// Expires is the time after which the note is no longer passed on.
	Expires time.Time
}

// NoteKind names the part of a host that a note is for.
type NoteKind string

// The kinds of notes.
const (
	// LeavingNote carries the name and incarnation of a target that leaves.
	LeavingNote NoteKind = "Leaving"
	// CrashNote carries the digest of a request and the target that broke.
	CrashNote NoteKind = "Crash"
	// LoadNote carries a host's outstanding counts by target.
	LoadNote NoteKind = "Load"
)
