//go:build !race

package catalog

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// These tests run without the race detector, which crashes in a bubble with the
// timers of so many hosts.

// sharedStore is a store with one configuration and ten targets, which turns some
// hosts away. A read that waits is not woken by a change: it returns it when its wait
// is over.
type sharedStore struct {
	mu       sync.Mutex
	rejected map[string]bool
	removals []TargetChange
	// evacuations holds the records of the operators' topic after the configuration.
	evacuations []EvacuationChange
	// era counts from one. It rises when the offsets start over.
	era Era
	// former names the hosts whose relays are those of the version before evacuations.
	former map[string]bool
	reads  int
	// fetches is the number of calls among the hosts.
	fetches atomic.Int64
}

// evacuate evacuates a failure domain or, without evacuated, puts it back into service.
func (s *sharedStore) evacuate(domain string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = append(s.evacuations, EvacuationChange{Domain: domain, Evacuated: evacuated, Offset: firstEvacuation + Offset(len(s.evacuations))})
}

// startOver removes the records of the operators' topic after the configuration, so that
// their offsets start over.
func (s *sharedStore) startOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = nil
	s.era++
}

// firstEvacuation is the offset after the configuration.
const firstEvacuation Offset = 1

var errTurnedAway = errors.New("store turns this host away")

// firstOffset is the offset after the entries of the ten targets.
const firstOffset Offset = 10

// remove removes a target.
func (s *sharedStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals = append(s.removals, TargetChange{ID: id, Offset: firstOffset + Offset(len(s.removals))})
}

// reject turns the named hosts away from now on.
func (s *sharedStore) reject(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = names
}

// readCount returns the number of reads so far.
func (s *sharedStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// hostFeed is the store as one host sees it.
type hostFeed struct {
	store *sharedStore
	name  string
}

// begin counts a read and reports whether the store turns it away.
func (d *hostFeed) begin() (rejected bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.reads++
	return d.store.rejected[d.name]
}

func (d *hostFeed) ReadTable(ctx context.Context, from Position, wait time.Duration) (TableUpdate, error) {
	if d.begin() {
		return TableUpdate{}, errTurnedAway
	}
	u := d.newerRecords(from)
	if len(u.Evacuations) > 0 || u.Full {
		return u, nil
	}
	if err := (&clock.Service{}).Sleep(ctx, wait); err != nil {
		return TableUpdate{}, err
	}
	return d.newerRecords(from), nil
}

// newerRecords returns the records of the operators' topic from an offset on.
func (d *hostFeed) newerRecords(from Position) TableUpdate {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	next := firstEvacuation + Offset(len(d.store.evacuations))
	// Like Feed of the platform, it reads all records if a position is not in the topic.
	u := TableUpdate{Full: !d.store.has(from, next), Next: next, Era: d.store.era}
	if u.Full {
		u.Table, from.Offset = &Table{Version: 1}, firstEvacuation
	}
	u.Evacuations = append(u.Evacuations, d.store.evacuations[from.Offset-firstEvacuation:]...)
	return u
}

// has reports whether a topic that ends at next has the records from a position on; s.mu is
// held.
func (s *sharedStore) has(from Position, next Offset) bool {
	return from.Offset != Start && from.Era == s.era && from.Offset <= next
}

func (d *hostFeed) ReadTargets(ctx context.Context, from Position, wait time.Duration) (TargetsUpdate, error) {
	if d.begin() {
		return TargetsUpdate{}, errTurnedAway
	}
	u := d.newer(from)
	if len(u.Changes) > 0 || u.Full {
		return u, nil
	}
	if err := (&clock.Service{}).Sleep(ctx, wait); err != nil {
		return TargetsUpdate{}, err
	}
	return d.newer(from), nil
}

// newer returns the entries from a position on.
func (d *hostFeed) newer(from Position) TargetsUpdate {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	next := firstOffset + Offset(len(d.store.removals))
	u := TargetsUpdate{Full: !d.store.has(from, next), Next: next, Era: d.store.era}
	if u.Full {
		u.Changes = entries(int(firstOffset), 0, 1)[:int(firstOffset)-len(d.store.removals)]
		return u
	}
	u.Changes = append(u.Changes, d.store.removals[from.Offset-firstOffset:]...)
	return u
}

// formerRelay replies as a host of the version before evacuations.
type formerRelay struct{ relay *Relay }

func (r *formerRelay) Fetch(known Known, reply *Held) error {
	known.TableNext, known.Partial, known.ComparesEras = 0, false, false
	err := r.relay.Fetch(known, reply)
	reply.TableNext, reply.Evacuations, reply.Era = 0, nil, 0
	return err
}

// countedRelay counts the calls of a relay.
type countedRelay struct {
	relay *Relay
	store *sharedStore
}

func (r *countedRelay) Fetch(known Known, reply *Held) error {
	r.store.fetches.Add(1)
	return r.relay.Fetch(known, reply)
}

func testHosts(n int) []peer.Host {
	var hosts []peer.Host
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)}), 81)
		hosts = append(hosts, peer.Host{Name: addr.String(), Addr: addr})
	}
	return hosts
}

// startFollowers runs a follower on each of n hosts of one store.
func startFollowers(t *testing.T, store *sharedStore, n int, apply time.Duration) []*Follower {
	t.Helper()
	// Calls that wait for a change end after the hosts.
	t.Cleanup(func() { time.Sleep(2 * apply) })
	network := &link.Memory{Delay: 500 * time.Microsecond}
	hosts := testHosts(n)
	members := fixedMembers{peer.NewMembers(hosts)}
	var out []*Follower
	for _, h := range hosts {
		net := network.Process(h.Addr.Addr())
		f := &Follower{Feed: &hostFeed{store, h.Name}, Clock: &clock.Service{}, Log: zap.NewNop(), Self: h.Name, Members: members,
			Peers: &peer.Caller{Net: net}, ApplyTime: apply}
		s := &peer.Server{RPC: rpc.NewServer()}
		register := func(s *rpc.Server) error { return s.RegisterName(rpcName, &countedRelay{&Relay{f}, store}) }
		if store.former[h.Name] {
			register = func(s *rpc.Server) error { return s.RegisterName(rpcName, &formerRelay{&Relay{f}}) }
		}
		if err := register(s.RPC); err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen(h.Addr)
		if err != nil {
			t.Fatal(err)
		}
		go s.Serve(l)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done; l.Close(); s.Close(); f.Peers.Close() })
		out = append(out, f)
	}
	return out
}

// TestRemovalWhileHostsAreTurnedAway removes a target while the store turns away
// some of many hosts, both readers among them or one. Every host must drop the
// target within the time in which a change is to be in force, and none may take it
// back. A host that is turned away once kept the target for the grace of an outage,
// and took it back from a peer that was behind.
func TestRemovalWhileHostsAreTurnedAway(t *testing.T) {
	const hosts, apply = 20, 4 * time.Second
	for name, turnedAway := range map[string]func(readers []string, all []string) []string{
		"both readers":        func(readers, _ []string) []string { return readers },
		"one reader":          func(readers, _ []string) []string { return readers[:1] },
		"both and half":       func(readers, all []string) []string { return append(readers, all[:hosts/2]...) },
		"one reader and half": func(readers, all []string) []string { return append(readers[:1], all[:hosts/2]...) },
	} {
		for delay := 100 * time.Millisecond; delay < apply; delay += 450 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				store := &sharedStore{era: 1}
				followers := startFollowers(t, store, hosts, apply)
				time.Sleep(2500 * time.Millisecond)
				rejected := map[string]bool{}
				readers, all := namesOf(followers)
				for _, n := range turnedAway(readers, all) {
					rejected[n] = true
				}
				store.reject(rejected)
				time.Sleep(delay)
				store.remove("t9")
				removed := time.Now()
				last := time.Duration(0)
				for time.Since(removed) < 2*apply {
					time.Sleep(50 * time.Millisecond)
					for _, f := range followers {
						if registeredCount(f) != int(firstOffset)-1 {
							last = time.Since(removed)
						}
					}
				}
				if last > apply {
					t.Errorf("%s: a host used the target %v after its removal, %v after it was turned away", name, last, delay)
				}
			})
		}
	}
}

// TestEvacuationWhileHostsAreTurnedAway evacuates a failure domain and puts it back
// while the store turns away some of many hosts, or none. Every host must know either
// within evacuationBound, which leaves time for a send that waits for a connection, and
// none may take an older state back. It also holds if the readers, or all hosts but one,
// are of the former version, which says nothing of evacuations.
func TestEvacuationWhileHostsAreTurnedAway(t *testing.T) {
	const hosts, apply, evacuationBound = 20, 4 * time.Second, 3 * time.Second
	all := testHosts(hosts)
	members := peer.NewMembers(all)
	readers := map[string]bool{}
	for i := range readerCount {
		readers[members.Strong().Holder(fmt.Sprint(rpcName, "/", i)).Name] = true
	}
	half := map[string]bool{}
	for _, h := range all[:hosts/2] {
		half[h.Name] = true
	}
	for name, c := range map[string]struct{ rejected, former map[string]bool }{
		"none":           {nil, nil},
		"readers":        {readers, nil},
		"half of all":    {half, nil},
		"former readers": {nil, readers},
		"former half":    {nil, half},
	} {
		for delay := 100 * time.Millisecond; delay < apply; delay += 650 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				store := &sharedStore{era: 1, former: c.former}
				followers := startFollowers(t, store, hosts, apply)
				time.Sleep(2500 * time.Millisecond)
				store.reject(c.rejected)
				time.Sleep(delay)
				for _, evacuated := range []bool{true, false} {
					store.evacuate("a", evacuated)
					if last := lastWithout(followers, apply, evacuated); last > evacuationBound {
						t.Errorf("turned away or former: %s: a host did not know that evacuated is %v for %v, %v after it was turned away", name, evacuated, last, delay)
					}
				}
			})
		}
	}
}

// TestTopicStartsOverForMany has the store lose the history of the operators' topic while
// it serves all of many hosts, or turns some of them away. Those that it serves must know
// the new state within the bound for evacuations and never return to the former one,
// also if they poll a reader: polls once brought nothing at a lower position. Replies that a
// host rejects must not make it poll again and again.
func TestTopicStartsOverForMany(t *testing.T) {
	const hosts, apply, evacuationBound, records = 20, 4 * time.Second, 3 * time.Second, 30
	rejected := map[string]bool{}
	for _, h := range testHosts(hosts)[:hosts/4] {
		rejected[h.Name] = true
	}
	for name, rejected := range map[string]map[string]bool{"none": nil, "some": rejected} {
		for delay := 100 * time.Millisecond; delay < apply; delay += 650 * time.Millisecond {
			t.Run(fmt.Sprint(name, " turned away, ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := &sharedStore{era: 1}
					for i := range records {
						store.evacuate("z", i%2 == 0)
					}
					followers := startFollowers(t, store, hosts, apply)
					time.Sleep(2500 * time.Millisecond)
					store.reject(rejected)
					time.Sleep(delay)
					store.startOver()
					before := store.fetches.Load()
					for _, evacuated := range []bool{true, false, true} {
						store.evacuate("a", evacuated)
						served := slices.DeleteFunc(slices.Clone(followers), func(f *Follower) bool { return rejected[f.Self] })
						if last := lastWithout(served, apply, evacuated); last > evacuationBound {
							t.Errorf("a host did not know that evacuated is %v for %v", evacuated, last)
						}
					}
					for _, f := range followers {
						if !f.Snapshot().IsEvacuated("a") {
							t.Errorf("host %s, turned away %v, does not know the evacuation", f.Self, rejected[f.Self])
						}
					}
					// About one a second of each host, and one more while the store turns it away.
					if n := int(store.fetches.Load() - before); n > 2*hosts*int(3*2*apply/time.Second) {
						t.Errorf("%d calls among the hosts", n)
					}
				})
			})
		}
	}
}

// lastWithout returns for how long a follower didn't know the state of failure domain a
// within twice the given time.
func lastWithout(followers []*Follower, apply time.Duration, evacuated bool) time.Duration {
	start, last := time.Now(), time.Duration(0)
	for time.Since(start) < 2*apply {
		time.Sleep(50 * time.Millisecond)
		for _, f := range followers {
			if f.Snapshot().IsEvacuated("a") != evacuated {
				last = time.Since(start)
			}
		}
	}
	return last
}

// namesOf returns the names of the hosts that read the store for the others, and of
// all hosts.
func namesOf(followers []*Follower) (readers, all []string) {
	for _, f := range followers {
		all = append(all, f.Self)
	}
	strong := followers[0].Members.Members().Strong()
	for i := range readerCount {
		readers = append(readers, strong.Holder(fmt.Sprint(rpcName, "/", i)).Name)
	}
	return readers, all
}

// TestReadsInOutage bounds the reads of the store while it turns away all of many
// hosts, since each of them has a cost, and expects every host to be up to date
// soon after.
func TestReadsInOutage(t *testing.T) {
	const hosts, apply, outage = 20, 4 * time.Second, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &sharedStore{era: 1}
		followers := startFollowers(t, store, hosts, apply)
		time.Sleep(2 * time.Second)
		rejected := map[string]bool{}
		for _, f := range followers {
			rejected[f.Self] = true
		}
		store.reject(rejected)
		before := store.readCount()
		time.Sleep(outage)
		store.remove("t9")
		store.reject(nil)
		// Two streams, and about one read a second of each while it fails.
		if reads := store.readCount() - before; reads > 2*hosts*int(outage/time.Second+1) {
			t.Errorf("%d reads in the outage", reads)
		}
		time.Sleep(lapseGrace + apply)
		for _, f := range followers {
			if diff := cmp.Diff(fmt.Sprint(int(firstOffset)-1), fmt.Sprint(registeredCount(f))); diff != "" {
				t.Errorf("%s: targets (-want +got):\n%s", f.Self, diff)
			}
		}
	})
}
