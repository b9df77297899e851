package peer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state in which a host is believed to be.
type State int8

// The states of a host. Of two updates with the same version the higher state
// wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Update reports the state of one host. Updates are ordered by incarnation,
// then version, then state. Only the host itself raises its version, to refute
// a suspicion.
type Update struct {
	Host    Host
	Version int64
	State   State
}

// supersedes reports whether u is newer than old.
func (u *Update) supersedes(old *Update) bool {
	if u.Host.Incarnation != old.Host.Incarnation {
		return u.Host.Incarnation > old.Host.Incarnation
	}
	if u.Version != old.Version {
		return u.Version > old.Version
	}
	return u.State > old.State
}

// maxGone is the greatest number of dead or left hosts that a table keeps.
const maxGone = 2048

// entry is a row of the table.
type entry struct {
	Update
	since time.Time // when Update was applied
}

// isMember reports whether the host counts as a member.
func (e *entry) isMember() bool { return e.State == Alive || e.State == Suspect }

// table is one host's view of the membership. Only the control goroutine of the
// Exchange uses it.
type table struct {
	self    string
	entries map[string]*entry
	digest  uint64 // XOR of hashUpdate over the members
	gone    int    // number of entries that are not members
}

func newTable(self Host) *table {
	t := &table{self: self.Name, entries: map[string]*entry{}}
	t.put(Update{Host: self}, time.Time{})
	return t
}

// own returns the entry of the local host.
func (t *table) own() *entry { return t.entries[t.self] }

// apply applies an update and reports whether it changed the table. An update
// against the local host is refuted by a version above that of the update.
func (t *table) apply(u Update, now time.Time) bool {
	if u.Host.Name == t.self {
		return t.refute(u, now)
	}
	old := t.entries[u.Host.Name]
	if old != nil && !u.supersedes(&old.Update) {
		return false
	}
	t.put(u, now)
	t.evictGone()
	return true
}

// refute raises the local host's version above that of u if u supersedes its
// entry. A host that has left refutes nothing.
func (t *table) refute(u Update, now time.Time) bool {
	own := t.own()
	if own.State == Left || !u.supersedes(&own.Update) {
		return false
	}
	next := own.Update
	if u.Host.Incarnation > next.Host.Incarnation {
		// An earlier incarnation of this host ran with a faster clock.
		next.Host.Incarnation = u.Host.Incarnation + 1
	}
	next.Version = u.Version + 1
	t.put(next, now)
	return true
}

func (t *table) put(u Update, now time.Time) {
	if old := t.entries[u.Host.Name]; old != nil {
		t.remove(old)
	}
	e := &entry{Update: u, since: now}
	t.entries[u.Host.Name] = e
	if e.isMember() {
		t.digest ^= hashUpdate(&u)
	} else {
		t.gone++
	}
}

func (t *table) remove(e *entry) {
	delete(t.entries, e.Host.Name)
	if e.isMember() {
		t.digest ^= hashUpdate(&e.Update)
	} else {
		t.gone--
	}
}

// evictGone removes the host that has been gone longest if there are more than
// maxGone.
func (t *table) evictGone() {
	if t.gone <= maxGone {
		return
	}
	var oldest *entry
	for _, e := range t.entries {
		if !e.isMember() && (oldest == nil || e.since.Before(oldest.since)) {
			oldest = e
		}
	}
	t.remove(oldest)
}

// hashUpdate returns a hash of u. The digest of a table is the XOR of its
// members' hashes, so it does not depend on the order of the updates.
func hashUpdate(u *Update) uint64 {
	d := xxhash.New()
	d.WriteString(u.Host.Name)
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(u.Host.Incarnation))
	binary.LittleEndian.PutUint64(b[8:16], uint64(u.Version))
	b[16] = byte(u.State)
	d.Write(b[:])
	return d.Sum64()
}

// members returns the hosts that are alive or suspect.
func (t *table) members() *Members {
	var hosts []Host
	for _, e := range t.entries {
		if e.isMember() {
			hosts = append(hosts, e.Host)
		}
	}
	if len(hosts) == 0 {
		// A host that has left and knows no other continues alone.
		hosts = append(hosts, t.own().Host)
	}
	return NewMembers(hosts)
}

// expiredSuspects returns, as dead, the hosts that have been suspected for
// suspicionTimeout.
func (t *table) expiredSuspects(now time.Time) []Update {
	var out []Update
	for _, e := range t.entries {
		if e.State == Suspect && now.Sub(e.since) >= suspicionTimeout {
			u := e.Update
			u.State = Dead
			out = append(out, u)
		}
	}
	sortUpdates(out)
	return out
}

// updates returns every entry, for a full sync with a peer.
func (t *table) updates() []Update {
	out := make([]Update, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Update)
	}
	sortUpdates(out)
	return out
}

// dead returns the dead hosts, as candidates for a reconnect.
func (t *table) dead() []Host {
	var out []Host
	for _, e := range t.entries {
		if e.State == Dead {
			out = append(out, e.Host)
		}
	}
	return NewMembers(out).Hosts
}

func sortUpdates(u []Update) {
	sort.Slice(u, func(i, j int) bool { return u[i].Host.Name < u[j].Host.Name })
}

// neighbours returns up to count hosts for self to monitor: those of the highest
// rendezvous weight, so that a change of members replaces few of them and each
// host is monitored by about count others.
func neighbours(m *Members, self string, count int) []Host {
	type ranked struct {
		host   Host
		weight uint64
	}
	var all []ranked
	for _, h := range m.Hosts {
		if h.Name != self {
			all = append(all, ranked{h, Weight(h.Name, self)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	var out []Host
	for _, r := range all[:min(count, len(all))] {
		out = append(out, r.host)
	}
	return out
}
