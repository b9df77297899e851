// Restored is the program of case 14: a drill takes the platform's store away for a moment
// and brings it back from a copy some seconds old; later a worker leaves as planned.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

// Bounds of the users' pages.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

const (
	// requestInterval is the time between two requests of the clients of one host.
	requestInterval = 100 * time.Millisecond
	// loadTime is how long the clients send before the worker leaves: until contactTime and 5 s
	// after the store is back.
	loadTime = 3*time.Second + drainTime + 1300*time.Millisecond + awayTime + contactTime + 5*time.Second
	// awayTime is how long the store is away. lull is a pause of all clients.
	awayTime = time.Second
	lull     = drainTime + time.Second
	// returning is the number of clients that send to each host at once after it.
	returning = 6
	// servesOn is how long the leaving worker serves after its report.
	servesOn = lull + kit.StreamTime/2
)

// arrival is a request at a worker.
type arrival struct {
	id, worker string
	at         time.Time
}

// journal holds what reached the workers.
type journal struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (j *journal) worker(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j.mu.Lock()
		j.arrivals = append(j.arrivals, arrival{r.Header.Get("Request-Id"), id, time.Now()})
		j.mu.Unlock()
		kit.StreamEvents(w, r)
	})
}

// at returns the arrivals at a worker of the requests in ids.
func (j *journal) at(worker string, ids map[string]sending) []arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []arrival
	for _, a := range j.arrivals {
		if _, ok := ids[a.id]; ok && a.worker == worker {
			out = append(out, a)
		}
	}
	return out
}

// sending is a request of a client, and whether the client has got the whole stream.
type sending struct {
	at    time.Time
	whole bool
}

// load sends requests to all hosts at a steady rate for d, the given number at once at first,
// and returns when each was sent.
func load(r *kit.Run, hosts []*kit.Host, first int, d time.Duration) map[string]sending {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent := map[string]sending{}
	cut := 0
	for until, n := time.Now().Add(d), first; time.Now().Before(until); time.Sleep(requestInterval) {
		for i := range n * len(hosts) {
			h := hosts[i%len(hosts)]
			wg.Go(func() {
				id, at := kit.NewID(), time.Now()
				whole := kit.StreamWhole(kit.Send(r, h, id, kit.StreamRequest(id)))
				mu.Lock()
				sent[id] = sending{at, whole}
				if !whole {
					cut++
				}
				mu.Unlock()
			})
		}
		n = 1
	}
	wg.Wait()
	r.Logf("clients: %d requests sent, %d without the whole stream", len(sent), cut)
	return sent
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	j := &journal{}
	var workers []*kit.Worker
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		id := fmt.Sprintf("i-%d", i+1)
		w := kit.NewWorker(r, store, id, "models", zone, 32, j.worker(id))
		w.Start()
		workers = append(workers, w)
	}
	kit.PutStreamConfig(r, store, "models")
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	before := make(chan map[string]sending)
	go func() { before <- load(r, hosts, 1, loadTime) }()
	time.Sleep(3 * time.Second)

	old, copied := store.Copy(), time.Now()
	last := workers[2]
	r.Logf("planned restart of %s", last.ID)
	last.SetState("draining")
	time.Sleep(drainTime + 500*time.Millisecond)
	last.SetState("")
	last.Stop()
	time.Sleep(300 * time.Millisecond)
	last.Start()
	time.Sleep(500 * time.Millisecond)

	if r.Trouble {
		r.Logf("the store is away for %v", awayTime)
		store.Stop()
	}
	time.Sleep(awayTime)
	if r.Trouble {
		store.Restore(old)
		store.Start(r)
		r.Logf("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
	}
	sent := <-before
	r.Logf("%s got %d of these requests", last.ID, len(j.at(last.ID, sent)))

	acked := last.SetState("draining")
	r.Logf("%s is draining, acknowledged by the store; it serves on for %v; the clients pause for %v", last.ID, servesOn, lull)
	time.AfterFunc(time.Until(acked.Add(servesOn)), func() {
		r.Logf("%s exits", last.ID)
		last.SetState("")
		last.Stop()
	})
	time.Sleep(time.Until(acked.Add(lull)))
	sent = load(r, hosts, returning, 2*time.Second)
	for _, a := range j.at(last.ID, sent) {
		s := sent[a.id]
		if s.at.Sub(acked) <= drainTime {
			continue
		}
		end := "the client got the whole stream"
		if !s.whole {
			end = "the stream was cut when the worker left"
		}
		r.Breach("DRAIN: request %s, sent by its client %.3f s after the acknowledgement, reached %s at %.3f s; %s", a.id, s.at.Sub(acked).Seconds(), a.worker, a.at.Sub(acked).Seconds(), end)
	}
}
