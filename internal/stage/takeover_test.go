package stage

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/cockroachdb/datadriven"
)

// takeoverSite is one batcher whose service the operator can remove, with the messages of
// hosts and the answers of targets that a script or a fuzz test chooses.
type takeoverSite struct {
	batcher *Batcher
	pool    *fakePool

	mu      sync.Mutex
	fault   PieceFault
	removed bool
	// broken makes calls end without an answer.
	broken bool
	ended  map[string]Outcome
}

func newTakeoverSite(t *testing.T, a Admission) *takeoverSite {
	s := &takeoverSite{ended: map[string]Outcome{}}
	s.pool = &fakePool{fault: func(*catalog.Target, Piece) PieceFault {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault
	}, fail: s.failing}
	s.batcher = newBatcher(t, s.pool, 2, testPool())
	served := s.batcher.Catalog()
	without := &catalog.Snapshot{Table: &catalog.Table{Services: map[string]*catalog.Service{}}}
	s.batcher.do(func() {
		s.batcher.Admission = a
		s.batcher.Catalog = func() *catalog.Snapshot {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.removed {
				return without
			}
			return served
		}
	})
	return s
}

// remove takes the service out of the configuration, or puts it back.
func (s *takeoverSite) remove(removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = removed
}

// answer sets what targets answer for each piece from now on.
func (s *takeoverSite) answer(f PieceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// submit starts a job and records its outcome when it ends.
func (s *takeoverSite) submit(t *testing.T, j Job) {
	go func() {
		o := s.batcher.Submit(t.Context(), j)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended[j.ID] = o
	}()
	synctest.Wait()
}

// outcome says how the job with that ID has ended, if it has.
func (s *takeoverSite) outcome(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.ended[id]
	if !ok {
		return "runs"
	}
	return fmt.Sprintf("%v, %d results", o.Fault, len(o.Results))
}

// heartbeat sends the list of a host's open reservations.
func (s *takeoverSite) heartbeat(host string, ids []string) {
	list := make([]Reservation, len(ids))
	for i, id := range ids {
		list[i] = testReservation(id, 8, 10*time.Second)
	}
	s.batcher.waitEstimates(SignOfLife{Host: host, Reserves: true, Reservations: list})
}

// reserve asks for one reservation.
func (s *takeoverSite) reserve(host, id string) (Answer, error) {
	a := ReserveArgs{Host: host, Record: s.batcher.Admission == ForecastAdmission, Reservations: []Reservation{testReservation(id, 8, 10*time.Second)}}
	reply, err := s.batcher.reserve(a, true)
	if err != nil {
		return Answer{}, err
	}
	return reply.Answers[0], nil
}

// state describes what the batcher keeps of the service.
func (s *takeoverSite) state() string {
	var out string
	s.batcher.do(func() {
		q := s.batcher.queue("s")
		_, granted := q.shares.all.sums(q.shares.bucketAt(s.batcher.Clock.Now()))
		held := int64(0)
		for _, ts := range q.targetStates {
			held += ts.heldBytes
		}
		out = fmt.Sprintf("reservations %d, granted %v, held %d bytes, mean %v", len(s.batcher.reservations), granted.Round(time.Millisecond), held, q.meanHeld.Round(time.Millisecond))
	})
	return out
}

// TestTakeover runs scripts in which a batcher becomes the holder of a service whose
// reservations another one granted, or loses the pool of a call that runs. It guards
// against a host that ends by itself and cuts the requests of all its callers. Commands:
//
//	batcher forecast|reservation   starts a batcher whose hosts admit in that way
//	reserve HOST ID                asks for a reservation
//	heartbeat HOST [ID ...]        sends the list of a host's open reservations
//	release HOST ID ...            gives reservations back
//	remove, restore                takes the service out of the configuration, or puts it back
//	answer done|room               sets what targets answer for each piece
//	submit ID                      starts a job
//	free ID                        frees the results of a job
//	wait TIME
//	outcome ID, state              prints them
func TestTakeover(t *testing.T) {
	datadriven.Walk(t, "testdata/takeover", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var s *takeoverSite
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				var words []string
				for _, arg := range d.CmdArgs {
					words = append(words, arg.Key)
				}
				if d.Cmd == "batcher" {
					s = newTakeoverSite(t, map[string]Admission{"forecast": ForecastAdmission, "reservation": ReservationAdmission}[words[0]])
					return ""
				}
				return s.runCommand(t, d.Cmd, words)
			})
		})
	})
}

// runCommand runs one command of TestTakeover and returns what it prints.
func (s *takeoverSite) runCommand(t *testing.T, command string, words []string) string {
	switch command {
	case "reserve":
		a, err := s.reserve(words[0], words[1])
		return fmt.Sprintf("granted %v, error %v\n", a.Granted, err)
	case "heartbeat":
		s.heartbeat(words[0], words[1:])
	case "release":
		if err := s.batcher.release(ReleaseArgs{Host: words[0], IDs: words[1:]}); err != nil {
			t.Fatal(err)
		}
	case "remove":
		s.remove(true)
	case "restore":
		s.remove(false)
	case "answer":
		s.answer(map[string]PieceFault{"done": PieceDone, "room": PieceNoMemory}[words[0]])
	case "submit":
		s.submit(t, testJob(words[0], 8))
	case "free":
		s.mu.Lock()
		results := s.ended[words[0]].Results
		s.mu.Unlock()
		s.batcher.Free(results)
	case "wait":
		time.Sleep(parseTime(t, words[0]))
	case "outcome":
		return strings.ToLower(s.outcome(words[0])) + "\n"
	case "state":
		return s.state() + "\n"
	default:
		t.Fatalf("unknown command %s", command)
	}
	return ""
}
