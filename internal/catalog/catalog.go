// Package catalog holds the routing table that operators publish and the
// targets that have registered themselves. A Follower reads both from the
// platform's store, or from a peer, and publishes them as an immutable
// Snapshot; requests read the current Snapshot without a lock.
//
// The types are independent of the platform. An adapter that implements Feed
// decodes the platform's formats into them and never passes on the content of
// an entry that it couldn't decode.
package catalog

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind states how often a request of a route may run.
type Kind int8

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt by a caller.
	Unsafe
	// Stream requests are answered by a stream of events and run at most once,
	// unless the route is resumable.
	Stream
)

var kindNames = [...]string{"safe", "unsafe", "stream"}

// String returns the name of k for logs.
func (k Kind) String() string { return kindNames[k] }

// Table is one version of the routing configuration. Its exported fields are
// set once; Index then builds the lookup maps. A Table is immutable afterwards.
type Table struct {
	Version    int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Route maps requests with a given Host header and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until a response has to be complete; zero means
	// no limit.
	Timeout time.Duration
	// Aim is the target latency: the time to the response, or to the first event
	// of a stream, within which the response has its full value.
	Aim time.Duration
	// EventPause is the target for the longest gap between two events of a stream.
	EventPause time.Duration
	// Patience is how long callers wait for the next event of a stream, also the
	// first one, before they leave; zero if it is unknown.
	Patience time.Duration
	// Priority is the priority of the route; zero is the most urgent.
	Priority int
	// Backends are the services among which the route's requests are divided.
	Backends []Backend
	// MaxTargets is the maximum number of targets to which one request is sent.
	MaxTargets int
	Stages     []Stage
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued on another target.
	Resumable bool
	// Regions are the home regions: the route's requests go only to targets there.
	// Empty means any.
	Regions []string
	// Invalid, unless empty, says why requests of the route can't be served. It then has
	// no backends and no stages.
	Invalid string
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Backend is a service and its weight in the division of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Stage is a step that has to finish before a request of the route can run.
type Stage struct {
	Service string
	// After holds the indices of the stages whose results this stage reads, each once;
	// see StageOrder.
	After []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// Pool is set for services whose targets run pieces of stages.
	Pool *Pool
	// ColdTime is how long a target is cold after its start. While cold, it takes
	// ColdRate requests a second from all hosts together; zero means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Pool describes the capacity and speed of each target of a stage pool.
type Pool struct {
	// Slots is the number of calls that run concurrently; Queue is the number of
	// further calls that may wait.
	Slots, Queue int
	// Batch is the maximum number of pieces in one call.
	Batch int
	// CallTime and PieceTime are the approximate fixed duration of a call and the
	// approximate duration of each of its pieces.
	CallTime, PieceTime time.Duration
	// RoomBytes is the memory capacity for results.
	RoomBytes int64
	// ResultLife is the time after which a result is dropped.
	ResultLife time.Duration
}

// Workspace is a customer's account.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the home regions of the workspace's requests, in addition to those
	// of the route. Empty means any.
	Regions []string
	// Invalid, unless empty, says why requests of the workspace can't be served.
	Invalid string
}

// Limits bounds what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index builds the lookup maps of t.
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

// Find returns the route of host whose prefix is the longest one that matches
// path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need the API key of a workspace.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }

// WorkspaceByKey returns the workspace that key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.byKey[key] }

// Target is a registered target. A restarted target keeps its ID but is a new
// incarnation, with a later Born.
type Target struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Domain  string
	Slots   int
	// Leaving targets are draining: they finish their work and get no more.
	Leaving bool
	// Born is the start time of this incarnation in Unix milliseconds by the
	// target's clock; zero if it is unknown.
	Born int64
	// Sequence increases with each entry that an incarnation writes.
	Sequence int64
	// Cold is the remaining cold time, which every entry may renew. That in a snapshot may
	// be outdated, since a change of it alone makes no new snapshot; Follower.OnEntry is
	// called with each entry.
	Cold Cold
}

// Cold is the remaining cold time of a target as of its entry.
type Cold struct {
	// Known is set if the entry has a cold time.
	Known bool
	// Left is counted from the read of the entry.
	Left time.Duration
}

// after returns the cold time that remains when d has passed.
func (c Cold) after(d time.Duration) Cold {
	c.Left = max(0, c.Left-max(0, d))
	return c
}

// writtenBefore reports whether the same target wrote t before u.
func (t *Target) writtenBefore(u *Target) bool {
	if t.Born != 0 && u.Born != 0 && t.Born != u.Born {
		return t.Born < u.Born
	}
	return t.Sequence < u.Sequence
}

// Snapshot is the configuration and the targets in force at one moment.
type Snapshot struct {
	// Table is nil until the first configuration has been read.
	Table *Table
	// Targets holds the registered targets by service, sorted by ID.
	Targets map[string][]*Target
	// Evacuated maps each evacuated failure domain to the position of the record that
	// evacuates it. It is nil until the operators' topic has been read. A domain that is
	// missing here but was in the former snapshot has been put back into service.
	Evacuated map[string]Position
}

// Has reports whether a target with that ID is registered for any service.
func (s *Snapshot) Has(id string) bool {
	for _, targets := range s.Targets {
		if FindTarget(targets, id) != nil {
			return true
		}
	}
	return false
}

// FindTarget returns the one of targets with that ID, or nil.
func FindTarget(targets []*Target, id string) *Target {
	for _, t := range targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// ActiveTargets returns the targets of service that take new work.
func (s *Snapshot) ActiveTargets(service string) []*Target {
	var out []*Target
	for _, t := range s.Targets[service] {
		if !t.Leaving && !s.IsEvacuated(t.Domain) {
			out = append(out, t)
		}
	}
	return out
}

// ActiveTargetsIn is like ActiveTargets but returns only targets in the given failure
// domains. An empty list means any domain.
func (s *Snapshot) ActiveTargetsIn(service string, domains []string) []*Target {
	return slices.DeleteFunc(s.ActiveTargets(service), func(t *Target) bool { return !DomainAllowed(domains, t.Domain) })
}

// Bars reports whether service has targets that would take new work, but all of them are
// ruled out by evacuations or by the given restriction to failure domains.
func (s *Snapshot) Bars(service string, domains []string) bool {
	barred := false
	for _, t := range s.Targets[service] {
		switch {
		case t.Leaving:
		case !s.IsEvacuated(t.Domain) && DomainAllowed(domains, t.Domain):
			return false
		default:
			barred = true
		}
	}
	return barred
}

// DomainAllowed reports whether a restriction to failure domains allows domain. An
// empty one allows any.
func DomainAllowed(domains []string, domain string) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}
