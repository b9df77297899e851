package stage

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// testReservation returns a reservation for the tests' service, whose two targets run
// about 80 pieces a second.
func testReservation(id string, pieces int, end time.Duration) Reservation {
	return Reservation{ID: id, RequestID: id, Service: "s", Pieces: pieces, PieceBytes: 1, Due: end / 2, End: end}
}

// reserving makes the hosts of cl reserve.
func (cl *cluster) reserving() *cluster { return cl.admitting(ReservationAdmission) }

// admitting makes the hosts of cl admit in the given way.
func (cl *cluster) admitting(a Admission) *cluster {
	for i := range cl.clients {
		cl.clients[i].mu.Lock()
		cl.clients[i].Admission = a
		cl.clients[i].mu.Unlock()
		cl.batchers[i].do(func() { cl.batchers[i].Admission = a })
	}
	return cl
}

// reservationCount returns the number of reservations at b.
func reservationCount(b *Batcher) int {
	n := -1
	b.do(func() { n = len(b.reservations) })
	return n
}

// reserveOne reserves and keeps what was granted.
func reserveOne(t *testing.T, c *Client, r Reservation) Verdict {
	t.Helper()
	v := c.Reserve(t.Context(), []Reservation{r})[0]
	if v.Granted {
		c.Keep([]Reservation{r})
	}
	return v
}

// TestReservationsOfManyHosts has hosts that know nothing recent of a batcher ask it at
// the same time. It guards against admitting all of them, as by their own estimates: the sum
// must be what the pool can serve, and given back capacity must be granted again.
func TestReservationsOfManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5).reserving()
		var granted [][]Reservation
		refused := Answer{}
		for i := range 40 {
			r := testReservation(fmt.Sprint(i), 8, 2*time.Second)
			if v := reserveOne(t, cl.clients[i%5], r); v.Granted {
				granted = append(granted, []Reservation{r})
			} else if refused = v.Answer; !v.Replied {
				t.Fatalf("no reply to reservation %d", i)
			}
		}
		// In the time before the last call starts, two targets run at most 8 pieces each 180 ms.
		most := int(2 * (2*time.Second - 180*time.Millisecond + slotTime) / (180 * time.Millisecond))
		if n := len(granted); n > most || n < most*3/4 {
			t.Errorf("%d reservations granted, at most %d can be served", n, most)
		}
		if refused.Wait <= 0 || refused.Spread <= 0 {
			t.Errorf("refused with %+v", refused)
		}
		cl.clients[0].GiveBack(granted[0])
		time.Sleep(10 * time.Millisecond)
		if v := reserveOne(t, cl.clients[1], testReservation("next", 8, 2*time.Second)); !v.Granted {
			t.Error("capacity that was given back is not granted again")
		}
	})
}

// TestPromisedJobs fills a pool with promises and expects all their jobs to be served in
// time, while jobs of a host that doesn't reserve, which are worth more, arrive. It guards
// against such jobs going first, which makes promised ones end too late.
func TestPromisedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2).reserving()
		c := cl.clients[cl.nonHolder()]
		type result struct {
			fault Fault
			took  time.Duration
		}
		results, n := make(chan result, 100), 0
		for i := range 40 {
			r := testReservation(fmt.Sprint(i), 8, 2*time.Second)
			if v := reserveOne(t, c, r); !v.Granted {
				continue
			}
			n++
			j := testJob(r.ID, 8)
			j.Due, j.Left, j.Promised, j.Reservation, j.Promise, j.PieceBytes = 500*time.Millisecond, 4*time.Second, true, r.ID, r.End, 1
			go func() {
				start := time.Now()
				o, err := c.Run(t.Context(), j)
				if err != nil {
					t.Error(err)
				}
				c.Free(o.Results)
				results <- result{o.Fault, time.Since(start)}
			}()
		}
		for i := range 60 {
			time.AfterFunc(time.Duration(i)*30*time.Millisecond, func() {
				j := testJob(fmt.Sprint("other", i), 4)
				j.Due, j.Left, j.Worth, j.PieceBytes = time.Second, time.Second, 100, 1
				o, err := c.Run(t.Context(), j)
				if err != nil {
					t.Error(err)
				}
				c.Free(o.Results)
			})
		}
		late := 0
		for range n {
			if r := <-results; r.fault != None || r.took > 2*time.Second+2*promiseMargin {
				late++
			}
		}
		if late > 0 || n == 0 {
			t.Errorf("%d of %d promised jobs were late or not served", late, n)
		}
		time.Sleep(5 * time.Second)
	})
}

// TestReservationsMoveToNextHolder kills the batcher and expects the next one to know what
// was granted within a heartbeat after the loss was found, so that it doesn't promise the
// same capacity again.
func TestReservationsMoveToNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3).reserving()
		c := cl.clients[cl.nonHolder()]
		const n = 3
		for i := range n {
			if v := reserveOne(t, c, testReservation(fmt.Sprint(i), 8, 5*time.Second)); !v.Granted {
				t.Fatalf("reservation %d: %+v", i, v)
			}
		}
		holder := cl.holder()
		cl.network.Kill(cl.hosts[holder].Addr.Addr())
		time.Sleep(maxMissedPings*(pingInterval+pingTimeout) + 2*pingInterval)
		next := cl.members.members.Without(cl.hosts[holder].Name).Holder("s").Name
		for i, h := range cl.hosts {
			if got := reservationCount(cl.batchers[i]); h.Name == next && got != n {
				t.Errorf("the next holder has %d reservations, want %d", got, n)
			}
		}
		if v := c.Reserve(t.Context(), []Reservation{testReservation("next", 1, 5*time.Second)})[0]; !v.Granted {
			t.Errorf("reservation at the next holder: %+v", v)
		}
	})
}

// TestReservationsOfLostHost expects the reservations of a host that is killed or frozen
// to be dropped, and those of a frozen one to count again once it wakes.
func TestReservationsOfLostHost(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 3).reserving()
			other := cl.nonHolder()
			c, holder := cl.clients[other], cl.batchers[cl.holder()]
			if v := reserveOne(t, c, testReservation("r", 8, 5*time.Second)); !v.Granted {
				t.Fatalf("%+v", v)
			}
			time.Sleep(silentLifetime)
			if n := reservationCount(holder); n != 1 {
				t.Errorf("%d reservations while the host lives, want 1", n)
			}
			if frozen {
				c.Clock.Suspend()
			} else {
				cl.network.Kill(cl.hosts[other].Addr.Addr())
			}
			time.Sleep(silentLifetime + pingInterval)
			if n := reservationCount(holder); n != 0 {
				t.Errorf("%d reservations after the host was silent for %v, want 0", n, silentLifetime)
			}
			if !frozen {
				return
			}
			c.Clock.Resume()
			time.Sleep(2 * pingInterval)
			if n := reservationCount(holder); n != 1 {
				t.Errorf("%d reservations after the host woke, want 1", n)
			}
		})
	}
}

// TestFrozenBatcher expects a host to hear within the bound that a batcher doesn't reply,
// and the batcher not to take the hosts for silent when it wakes.
func TestFrozenBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3).reserving()
		holder := cl.batchers[cl.holder()]
		holder.do(func() {
			holder.heard["x"] = time.Now()
			holder.addReservation("x", testReservation("x", 1, 10*time.Second), time.Now())
		})
		holder.Clock.Suspend()
		start := time.Now()
		v := cl.clients[cl.nonHolder()].Reserve(t.Context(), []Reservation{testReservation("r", 1, time.Second)})[0]
		if took := time.Since(start); v.Replied || took > reserveTimeout+10*time.Millisecond {
			t.Errorf("%+v after %v", v, took)
		}
		time.Sleep(2 * silentLifetime)
		holder.Clock.Resume()
		time.Sleep(2 * sweepInterval)
		kept := false
		holder.do(func() { kept = holder.reservations["x"] != nil })
		if !kept {
			t.Error("the reservation of a host that was not silent is gone")
		}
	})
}

// TestLostReplies loses the reply to a reservation and the message that gives it back. The
// next list of the host's open reservations must end it: its capacity would stay unused.
func TestLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3).reserving()
		holder, other := cl.holder(), cl.nonHolder()
		c := cl.clients[other]
		if v := reserveOne(t, c, testReservation("open", 1, 10*time.Second)); !v.Granted {
			t.Fatalf("%+v", v)
		}
		cl.network.Cut(cl.hosts[holder].Addr.Addr(), cl.hosts[other].Addr.Addr())
		lost := []Reservation{testReservation("lost", 8, 10*time.Second)}
		if v := c.Reserve(t.Context(), lost)[0]; v.Replied {
			t.Errorf("%+v over a cut link", v)
		}
		cl.network.Heal(cl.hosts[holder].Addr.Addr(), cl.hosts[other].Addr.Addr())
		if n := reservationCount(cl.batchers[holder]); n != 2 {
			t.Errorf("%d reservations after the reply was lost, want 2", n)
		}
		time.Sleep(listLag + 3*pingInterval + pingTimeout)
		if n := reservationCount(cl.batchers[holder]); n != 1 {
			t.Errorf("%d reservations after the next list, want 1", n)
		}
	})
}

// TestJobNeverComes expects a reservation whose job never comes to end by its latest end.
func TestJobNeverComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2).reserving()
		c, holder := cl.clients[cl.nonHolder()], cl.batchers[cl.holder()]
		reserveOne(t, c, testReservation("r", 8, time.Second))
		time.Sleep(900 * time.Millisecond)
		if n := reservationCount(holder); n != 1 {
			t.Errorf("%d reservations before the latest end, want 1", n)
		}
		time.Sleep(150 * time.Millisecond)
		if n := reservationCount(holder); n != 0 {
			t.Errorf("%d reservations after the latest end, want 0", n)
		}
		time.Sleep(time.Second)
		if n := reservationCount(holder); n != 0 {
			t.Errorf("%d reservations a second later, want 0: the heartbeats still list it", n)
		}
	})
}

// formerService is the RPC service of the version before reservations.
type formerService struct{ s *Service }

// Run runs a job of another host.
func (f *formerService) Run(j *Job, reply *Outcome) error { return f.s.Run(j, reply) }

// Ping answers a heartbeat.
func (f *formerService) Ping(r *SignOfLife, reply *map[string]Outlook) error {
	return f.s.Ping(r, reply)
}

// TestFormerBatcher asks a batcher of the former version, which doesn't know the call. The
// host must hear at once, get a wait estimate instead, and still run its jobs there.
func TestFormerBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2).reserving()
		former := peer.Host{Name: "10.1.0.99:81", Addr: netip.MustParseAddrPort("10.1.0.99:81")}
		batcher := newBatcher(t, &fakePool{}, 2, testPool())
		s := &peer.Server{RPC: rpc.NewServer()}
		if err := s.RPC.RegisterName(rpcName, &formerService{&Service{batcher: batcher}}); err != nil {
			t.Fatal(err)
		}
		l, err := cl.network.Process(former.Addr.Addr()).Listen(former.Addr)
		if err != nil {
			t.Fatal(err)
		}
		go s.Serve(l)
		defer func() { l.Close(); s.Close() }()
		cl.members.members = peer.NewMembers([]peer.Host{former})
		batcher.do(func() { batcher.queue("s").refresh(batcher.Catalog()) })
		c := cl.clients[0]
		for range 2 {
			start := time.Now()
			v := c.Reserve(t.Context(), []Reservation{testReservation("r", 1, time.Second)})[0]
			if took := time.Since(start); v.Replied || !v.Former || took > 10*time.Millisecond {
				t.Errorf("%+v after %v", v, took)
			}
			if _, known := c.EstimateAge("s"); !known {
				t.Error("no estimate of the former version's batcher")
			}
		}
		if o, err := c.Run(t.Context(), testJob("r", 2)); err != nil || o.Fault != None {
			t.Errorf("outcome %+v, %v", o, err)
		}
	})
}

// TestAdmissionWithoutEstimate expects a host without a recent estimate of a service to
// admit no more than maxWithoutEstimate requests per withoutEstimateWindow. It guards against
// admitting everything.
func TestAdmissionWithoutEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1).clients[0]
		admitted := 0
		for range 20 {
			for range 10 {
				if c.AdmitWithoutEstimate("s") {
					admitted++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if admitted != 2*maxWithoutEstimate {
			t.Errorf("%d requests admitted in 2s, want %d", admitted, 2*maxWithoutEstimate)
		}
	})
}

// TestResultMemoryBinds expects the promises of a pool whose result memory is scarcer than
// its calls to follow that memory.
func TestResultMemoryBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := testPool()
		pool.RoomBytes = 400
		b := newBatcher(t, &fakePool{}, 1, pool)
		granted := map[int64]int{}
		for _, bytes := range []int64{1, 100} {
			for i := range 100 {
				r := testReservation(fmt.Sprint(bytes, "/", i), 1, 2*time.Second)
				r.PieceBytes = bytes
				reply, err := b.reserve(ReserveArgs{Host: "h", Reservations: []Reservation{r}}, false)
				if err != nil {
					t.Fatal(err)
				}
				if reply.Answers[0].Granted {
					granted[bytes]++
				}
			}
			b.do(func() {
				for id := range b.reservations {
					b.removeReservation(id)
				}
			})
		}
		// Four results of 100 bytes fit at a time, each for a call and for as long again until
		// it is freed: 4 pieces per 360 ms. Calls alone would allow 8 per 180 ms.
		if granted[1] < 60 || granted[1] > 85 || granted[100] < 15 || granted[100] > 21 {
			t.Errorf("granted %v reservations by bytes of a result", granted)
		}
	})
}

// TestMalformedReservations expects a batcher to refuse reservations that no host of this
// version sends, and to serve on.
func TestMalformedReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		s := &Service{batcher: b}
		for _, change := range []func(*Reservation){
			func(r *Reservation) { r.ID = "" },
			func(r *Reservation) { r.Pieces = 0 },
			func(r *Reservation) { r.Pieces = 1 << 40 },
			func(r *Reservation) { r.PieceBytes = -1 },
			func(r *Reservation) { r.Start = -time.Second },
			func(r *Reservation) { r.Start = 1 << 60 },
		} {
			r := testReservation("r", 1, time.Second)
			change(&r)
			if err := s.Reserve(&ReserveArgs{Host: "h", Reservations: []Reservation{r}}, &ReserveReply{}); err == nil {
				t.Errorf("reservation %+v was taken", r)
			}
			s.Ping(&SignOfLife{Host: "h", Reserves: true, Reservations: []Reservation{r}}, &map[string]Outlook{})
		}
		if n := reservationCount(b); n != 0 {
			t.Errorf("%d reservations, want 0", n)
		}
		reply := &ReserveReply{}
		if err := s.Reserve(&ReserveArgs{Host: "h", Reservations: []Reservation{testReservation("r", 1, time.Second)}}, reply); err != nil || !reply.Answers[0].Granted {
			t.Errorf("sound reservation afterwards: %+v, %v", reply, err)
		}
	})
}

// TestAllOrNone expects nothing to stay reserved if one of a request's reservations at a
// holder is refused.
func TestAllOrNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		registry := metrics.NewRegistry()
		b.do(func() { b.Metrics = registry })
		reply, err := b.reserve(ReserveArgs{Host: "h", Reservations: []Reservation{testReservation("a", 1, time.Second), testReservation("b", 400, time.Second)}}, false)
		if err != nil {
			t.Fatal(err)
		}
		got := []bool{reply.Answers[0].Granted, reply.Answers[1].Granted}
		if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("granted (-want +got):\n%s", diff)
		}
		if n := reservationCount(b); n != 0 {
			t.Errorf("%d reservations, want 0", n)
		}
		if n := metrics.GetOrRegisterCounter("Reservations.GivenBack", registry).Count(); n != 1 {
			t.Errorf("%d reservations counted as given back, want 1", n)
		}
	})
}

// BenchmarkReserve measures the decision on one reservation at the batcher of a pool of 150
// targets with two reservations of each of 520 hosts and 500 waiting jobs.
func BenchmarkReserve(b *testing.B) {
	const hosts, targets, jobs = 520, 150, 500
	pool := testPool()
	batcher, q := newCrowdedQueue(&pool)
	s := batcher.Catalog()
	s.Targets["s"] = nil
	for i := range targets {
		s.Targets["s"] = append(s.Targets["s"], &catalog.Target{ID: fmt.Sprint(i), Service: "s"})
		q.targetState(fmt.Sprint(i)).calls = 1
	}
	q.jobs = q.jobs[:jobs]
	now := time.Now()
	for _, j := range q.jobs {
		j.promise = now.Add(time.Hour)
	}
	q.epoch = now
	batcher.queues = map[string]*queue{"s": q}
	batcher.reservations, batcher.heard = map[string]*reservation{}, map[string]time.Time{}
	batcher.upcoming, batcher.ctx = map[string]map[string]upcomingPieces{}, context.Background()
	for i := range 2 * hosts {
		r := testReservation(fmt.Sprint(i), 1, time.Hour)
		r.Workspace = fmt.Sprint(i % 16)
		batcher.addReservation(fmt.Sprint(i%hosts), r, now)
	}
	batcher.Log = zap.NewNop()
	for _, record := range []bool{false, true} {
		b.Run(fmt.Sprint("record=", record), func(b *testing.B) {
			args := ReserveArgs{Host: "0", Record: record, Reservations: []Reservation{testReservation("r", 1, time.Hour)}}
			b.ReportAllocs()
			for b.Loop() {
				batcher.reserveAll(args)
				batcher.removeReservation("r")
			}
		})
	}
}
