// Restored is the program of case 14: a drill takes the platform's store away for a moment
// and brings it back from a copy some seconds old; later a worker leaves as planned.
package main

import (
	"fmt"
	"io"
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
	// awayTime is how long the store is away. lull is a pause of all clients.
	awayTime = time.Second
	lull     = drainTime + time.Second
	// returning is the number of clients that send to each host at once after it.
	returning = 6
	// servesOn is how long the leaving worker serves after its report.
	servesOn = 8 * time.Second
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

func (j *journal) worker(id *string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j.mu.Lock()
		j.arrivals = append(j.arrivals, arrival{r.Header.Get("Request-Id"), *id, time.Now()})
		j.mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Response-Signature", "sig."+r.Header.Get("Request-Id"))
		io.WriteString(w, "stock of "+r.URL.Path)
	})
}

func (j *journal) at(worker string, ids map[string]time.Time) []arrival {
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

// load sends requests to all hosts at a steady rate for d, the given number at once at first,
// and returns when each was sent.
func load(r *kit.Run, hosts []*kit.Host, first int, d time.Duration) map[string]time.Time {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	for until, n := time.Now().Add(d), first; time.Now().Before(until); time.Sleep(requestInterval) {
		for i := range n * len(hosts) {
			h := hosts[i%len(hosts)]
			wg.Go(func() {
				id := kit.NewID()
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				a := kit.Send(r, h, id, kit.Request{Method: http.MethodGet, Host: "desk.example", Path: "/stock/17", Deadline: 1500 * time.Millisecond})
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			})
		}
		n = 1
	}
	wg.Wait()
	r.Logf("clients: %d requests sent, answers by status %v", len(sent), statuses)
	return sent
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	j := &journal{}
	var workers []*kit.Worker
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		id := fmt.Sprintf("i-%d", i+1)
		w := kit.NewWorker(r, store, id, "desk", zone, 6, j.worker(&id))
		w.Start()
		workers = append(workers, w)
	}
	kit.PutConfig(r, store, 1,
		[]map[string]any{{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 0, "service": "desk", "attempts": 2, "stages": []any{}, "public": false}},
		[]map[string]any{{"name": "desk", "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}})
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	load(r, hosts, 1, 3*time.Second)

	old := store.Copy()
	copied := time.Now()
	last := workers[2]
	r.Logf("planned restart of %s", last.ID)
	last.SetState("draining")
	load(r, hosts, 1, drainTime+500*time.Millisecond)
	last.SetState("")
	last.Stop()
	time.Sleep(300 * time.Millisecond)
	last.Start()
	load(r, hosts, 1, time.Second)

	if r.Trouble {
		r.Logf("the store is away for %v", awayTime)
		store.Stop()
		time.Sleep(awayTime)
		store.Restore(old)
		store.Start(r)
		r.Logf("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
	}
	sent := load(r, hosts, 1, contactTime+5*time.Second)
	r.Logf("%s got %d of these requests", last.ID, len(j.at(last.ID, sent)))

	acked := last.SetState("draining")
	r.Logf("%s is draining, acknowledged by the store; it serves on for %v; the clients pause for %v", last.ID, servesOn, lull)
	time.Sleep(lull)
	sent = load(r, hosts, returning, 3*time.Second)
	late := j.at(last.ID, sent)
	for _, a := range late {
		if at := sent[a.id]; at.Sub(acked) > drainTime {
			r.Breach("DRAIN: request %s, sent by its client %.3f s after the acknowledgement, reached %s at %.3f s", a.id, at.Sub(acked).Seconds(), a.worker, a.at.Sub(acked).Seconds())
		}
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	last.SetState("")
	last.Stop()
}
