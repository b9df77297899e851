// Package catalog holds what the operators and the targets have said: the
// routing table in force and the targets that have registered themselves. A
// Follower reads both from the platform and publishes immutable snapshots;
// requests read the snapshots without a lock.
//
// The types are those of the product. An adapter decodes the platform's
// formats into them and never passes an entry on that it couldn't read.
package catalog

import (
	"net/netip"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int8

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Stream requests are answered by events and run at most once, unless the
	// route is resumable.
	Stream
)

var kindNames = [...]string{"safe", "unsafe", "stream"}

// String returns the name of k for logs.
func (k Kind) String() string { return kindNames[k] }

// Table is one version of the routing configuration. Its exported fields are
// set once; Index prepares the look-ups. A Table is immutable afterwards.
type Table struct {
	Version    int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Route maps the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer to end;
	// zero means no limit.
	Timeout time.Duration
	// Aim is the time to the answer, or to the first event, within which the
	// answer has its full value.
	Aim time.Duration
	// EventPause is the longest pause between two events of a stream that is on
	// time.
	EventPause time.Duration
	// Priority is the rank of the route; zero is the most urgent.
	Priority int
	// Backends are the services that the route's requests are shared among.
	Backends []Backend
	// MaxTargets is the number of targets to which one request may be sent.
	MaxTargets int
	Stages     []Stage
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Backend is a service and its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Stage is work that has to be done before a request of the route can run.
type Stage struct {
	Service string
	// After are the indices of the stages whose results this one reads.
	After []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// Pool is set for services whose targets run pieces of stages.
	Pool *Pool
}

// Pool holds the figures of one target of a stage pool.
type Pool struct {
	// Slots calls run at the same time, Queue more may wait.
	Slots, Queue int
	// Batch is the largest number of pieces of one call.
	Batch int
	// CallTime and PieceTime are the approximate times of a call and of each of
	// its pieces.
	CallTime, PieceTime time.Duration
	// RoomBytes is the memory for results.
	RoomBytes int64
	// ResultLife is the time after which a result is dropped.
	ResultLife time.Duration
}

// Workspace is a customer's account.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares t for look-ups.
func (t *Table) Index() {
	t.byHost = map[string][]*Route{}
	for _, r := range t.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.byKey = map[string]*Workspace{}
	for _, w := range t.Workspaces {
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
}

// Find returns the route of host with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need the key of a workspace.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.byKey[key] }

// Target is a registered target. A target that starts again is another life of
// it, with a later Born.
type Target struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Domain  string
	Slots   int
	// Leaving targets finish what they have and get no new work.
	Leaving bool
	// Born is the time at which this life began, in Unix milliseconds by the
	// target's clock; zero if it is unknown.
	Born int64
	// Sequence grows with each entry that a life of a target writes.
	Sequence int64
}

// older reports whether t was written before u by the same target.
func (t *Target) writtenBefore(u *Target) bool {
	if t.Born != 0 && u.Born != 0 && t.Born != u.Born {
		return t.Born < u.Born
	}
	return t.Sequence < u.Sequence
}

// Snapshot is what is in force at one moment.
type Snapshot struct {
	// Table is nil until the first configuration has been read.
	Table *Table
	// Targets are the registered targets by service, sorted by ID.
	Targets map[string][]*Target
}

// TargetsOf returns the targets of service that take new work.
func (s *Snapshot) ActiveTargets(service string) []*Target {
	var out []*Target
	for _, t := range s.Targets[service] {
		if !t.Leaving {
			out = append(out, t)
		}
	}
	return out
}
