package peer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a host.
type State int8

// The states of a host. Of two words on the same version the higher wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Update is a word on the state of one host. Words are ordered by incarnation,
// then version, then state; only the host itself raises its version, to refute
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

// maxGone bounds the hosts that are remembered after they died or left.
const maxGone = 2048

// entry is a row of the table.
type entry struct {
	Update
	since time.Time
}

// present reports whether the host counts as a member.
func (e *entry) isMember() bool { return e.State == Alive || e.State == Suspect }

// table is the membership as one host believes it. Its owner is the control
// goroutine of the Exchange.
type table struct {
	self    string
	entries map[string]*entry
	digest  uint64 // over the members; see sum
	gone    int
}

func newTable(self Host) *table {
	t := &table{self: self.Name, entries: map[string]*entry{}}
	t.put(Update{Host: self}, time.Time{})
	return t
}

// own returns the host's own row.
func (t *table) own() *entry { return t.entries[t.self] }

// apply takes a word on a host and reports whether it was news. A word against
// the host itself is refuted: its row gets a version above the word's.
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

// refute raises the own row above u unless u agrees with it. A host that left
// stays so.
func (t *table) refute(u Update, now time.Time) bool {
	own := t.own()
	if own.State == Left || !u.supersedes(&own.Update) {
		return false
	}
	next := own.Update
	if u.Host.Incarnation > next.Host.Incarnation {
		// An earlier life of this host ran under a faster clock.
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

// bound forgets the host that has been gone longest once there are too many.
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

// sum returns a hash of u. The digest of a table is the exclusive or of its
// members' sums, so that equal tables have equal digests in any order.
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
		// A host that has left and knows no other goes on alone.
		hosts = append(hosts, t.own().Host)
	}
	return NewMembers(hosts)
}

// expired returns the suspects whose time to refute has passed.
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

// updates returns every row, for a peer that knows nothing.
func (t *table) updates() []Update {
	out := make([]Update, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Update)
	}
	sortUpdates(out)
	return out
}

// dead returns the hosts that died, to be tried again.
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

// neighbours returns the hosts that self watches: the ones of the highest
// rendezvous weight, so that a change of members moves few of them and each
// host is watched by about as many.
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
