package crash

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// fixedMembers is a constant list of hosts; it discards notes.
type fixedMembers struct{ members *peer.Members }

func (f *fixedMembers) Members() *peer.Members                { return f.members }
func (f *fixedMembers) Spread(peer.Note)                      {}
func (f *fixedMembers) OnNote(peer.NoteKind, func(peer.Note)) {}

// newTables returns the tables of n hosts that can reach each other.
func newTables(tb testing.TB, n int) []*Table {
	return newTablesOn(tb, &link.Memory{Delay: 500 * time.Microsecond}, n)
}

// newTablesOn is newTables on the network m.
func newTablesOn(tb testing.TB, m *link.Memory, n int) []*Table {
	var hosts []peer.Host
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81)
		hosts = append(hosts, peer.Host{Name: fmt.Sprintf("h%d", i), Addr: addr})
	}
	members := &fixedMembers{peer.NewMembers(hosts)}
	var tables []*Table
	for _, h := range hosts {
		t := &Table{Self: h.Name, Clock: &clock.Service{}, Log: zap.NewNop(), Exchange: members, Peers: &peer.Caller{Net: m.Process(h.Addr.Addr())}}
		s := &peer.Server{RPC: rpc.NewServer()}
		if err := t.Register(s.RPC); err != nil {
			tb.Fatal(err)
		}
		l, err := m.Process(h.Addr.Addr()).Listen(h.Addr)
		if err != nil {
			tb.Fatal(err)
		}
		go s.Serve(l)
		tb.Cleanup(func() { l.Close(); s.Close(); t.Peers.Close() })
		tables = append(tables, t)
	}
	return tables
}

func begin(t *testing.T, table *Table, digest, target string) *Permit {
	t.Helper()
	run := Run{Digest: digest, Target: target, AttemptID: digest + "@" + target, Until: time.Now().Add(time.Second)}
	p, err := table.Begin(t.Context(), run)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestBreakReachesEveryHost breaks a target at one of many hosts. When End
// returns, which must be within notifyTimeout, every host knows of the break.
func TestBreakReachesEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newTables(t, 520)
		p := begin(t, tables[0], "d", "t1")
		start := time.Now()
		tables[0].End(t.Context(), p, true)
		if took := time.Since(start); took > notifyTimeout {
			t.Errorf("notification took %v", took)
		} else {
			t.Logf("519 hosts were notified within %v of virtual time", took)
		}
		for _, other := range tables {
			if !other.Suspect("d") {
				t.Fatalf("%s does not know of the break", other.Self)
			}
		}
	})
}

// TestArbiterKilled kills the arbiter before the others count it as dead. They must still
// let a suspect run at one target at a time. Each decided for itself, so that the body
// broke a target more for each host.
func TestArbiterKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: 500 * time.Microsecond}
		tables := newTablesOn(t, m, 4)
		tables[0].End(t.Context(), begin(t, tables[0], "d", "t1"), true)
		arbiter := tables[0].Exchange.Members().Holder(suspectsKey)
		m.Kill(arbiter.Addr.Addr())
		others := slices.DeleteFunc(tables, func(o *Table) bool { return o.Self == arbiter.Name })
		for i, table := range others {
			p := begin(t, table, "d", "t2")
			for _, other := range others {
				run := Run{Digest: "d", Target: "t3", AttemptID: "d@t3", Until: time.Now().Add(100 * time.Millisecond)}
				if _, err := other.Begin(t.Context(), run); err == nil {
					t.Errorf("%s allows a run beside one of %s", other.Self, table.Self)
				}
			}
			table.End(t.Context(), p, false)
			time.Sleep(askTimeout)
			if i == len(others)-1 {
				begin(t, others[0], "d", "t4")
			}
		}
	})
}

// TestNewsOverSilentConnections makes the connections among hosts silent without a
// reset and expects the news of crashes just after that to reach every host once hosts
// count as in touch again.
func TestNewsOverSilentConnections(t *testing.T) {
	const contactTime = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: 500 * time.Microsecond}
		tables := newTablesOn(t, m, 3)
		tables[0].RecordCrash(Incident{Target: "t"}, suspectsOf([]string{"#before"}))
		time.Sleep(time.Second)
		hosts := tables[0].Exchange.Members().Hosts
		for _, h := range hosts[1:] {
			m.Silence(hosts[0].Addr.Addr(), h.Addr.Addr())
		}
		for i := range maxCrashes {
			tables[0].RecordCrash(Incident{Target: fmt.Sprint("t", i)}, suspectsOf([]string{"c", fmt.Sprint("#", i)}))
			time.Sleep(commonCauseTime)
		}
		time.Sleep(contactTime - maxCrashes*commonCauseTime)
		for _, table := range tables {
			if diff := cmp.Diff(Suspect{Part: "c"}, table.BlockedSuspect(suspectsOf([]string{"c"}))); diff != "" {
				t.Errorf("%s: blocked part %v after connections went silent (-want +got):\n%s", table.Self, contactTime, diff)
			}
		}
	})
}

// noteLog is a constant list of hosts that keeps the notes.
type noteLog struct {
	fixedMembers
	mu    sync.Mutex
	notes []peer.Note
}

func (l *noteLog) Spread(n peer.Note) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, n)
}

// TestBlockedPartAfterRestart breaks three targets by requests with one part and
// expects every host to block it, and so does a host that starts later, from the
// notes that its peers keep, in any order.
func TestBlockedPartAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newTables(t, 3)
		l := &noteLog{fixedMembers: *tables[0].Exchange.(*fixedMembers)}
		tables[0].Exchange = l
		for i := range maxCrashes {
			tables[0].RecordCrash(Incident{Target: fmt.Sprint("t", i)}, suspectsOf([]string{"a", "b", "c", fmt.Sprint("#", i)}))
			time.Sleep(time.Second)
		}
		tables[0].RecordAnswer(suspectsOf([]string{"a", "b"}))
		time.Sleep(time.Second)
		restarted := newTables(t, 1)[0]
		l.mu.Lock()
		for _, n := range slices.Backward(l.notes) {
			restarted.handleNote(n)
		}
		l.mu.Unlock()
		for _, table := range append(tables, restarted) {
			got := []Suspect{table.BlockedSuspect(suspectsOf([]string{"a", "b"})), table.BlockedSuspect(suspectsOf([]string{"a", "c"}))}
			if diff := cmp.Diff([]Suspect{{}, {Part: "c"}}, got); diff != "" {
				t.Errorf("%s: blocked parts (-want +got):\n%s", table.Self, diff)
			}
		}
	})
}

// TestBounds fills a table beyond its limit: the body that broke a target
// longest ago is dropped, and a remaining one expires after bodyLifetime.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTables(t, 1)[0]
		for i := range maxBodies + 1 {
			table.End(t.Context(), begin(t, table, fmt.Sprint(i), "t"), true)
		}
		got := []bool{table.Suspect("0"), table.Suspect("1"), table.Suspect(fmt.Sprint(maxBodies))}
		if diff := cmp.Diff([]bool{false, true, true}, got); diff != "" {
			t.Errorf("suspects at the limit (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(maxBodies, table.bodies.Len()); diff != "" {
			t.Errorf("bodies (-want +got):\n%s", diff)
		}
		time.Sleep(bodyLifetime + time.Second)
		if table.Suspect("1") {
			t.Error("a body is still a suspect after bodyLifetime")
		}
	})
}

// TestArbiterBound fills the arbiter: a further suspect is admitted only after a
// run ends or expires.
func TestArbiterBound(t *testing.T) {
	var a arbiter
	now := time.Now()
	run := func(i int) Run {
		return Run{Digest: fmt.Sprint(i), Target: fmt.Sprint(i), AttemptID: fmt.Sprint(i), Until: now.Add(time.Second)}
	}
	a.runs = map[string]Run{}
	for j := range maxRuns {
		a.runs[fmt.Sprint(j)] = run(j)
	}
	if got := a.begin(run(maxRuns), now); got != Busy {
		t.Errorf("a full arbiter answered %d", got)
	}
	a.end(run(0))
	if got := a.begin(run(maxRuns), now); got != Allowed {
		t.Errorf("after an end the arbiter answered %d", got)
	}
	if got := a.begin(run(maxRuns+1), now.Add(time.Second)); got != Allowed {
		t.Errorf("after every run expired the arbiter answered %d", got)
	}
}

// BenchmarkBegin measures the cost of the table for a request that broke no
// target.
func BenchmarkBegin(b *testing.B) {
	table := &Table{Self: "h", Clock: &clock.Service{}, Log: zap.NewNop(), Exchange: &fixedMembers{peer.NewMembers([]peer.Host{{Name: "h"}})}}
	run := Run{Digest: "d", Target: "t", AttemptID: "a", Until: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		p, err := table.Begin(context.Background(), run)
		if err != nil {
			b.Fatal(err)
		}
		table.End(context.Background(), p, false)
	}
}
