// Pause is the program of case 15: a worker in trouble turns requests away with 503 and
// Retry-After, and spreads the times that it names.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

const (
	workers = 3
	// clumpSize requests are sent to each host at once every clumpInterval.
	clumpSize     = 9
	clumpInterval = 200 * time.Millisecond
	workTime      = 60 * time.Millisecond
	// calmTime precedes the trouble, which lasts for troubleTime.
	calmTime, troubleTime = 3 * time.Second, 45 * time.Second
	// The worker in trouble names times from minPause to maxPause.
	minPause, maxPause = 500 * time.Millisecond, 8 * time.Second
	// A machine may be excused for requests that arrive within lag of an answer. It may send
	// maxRequests after that until the end of the time.
	lag         = 500 * time.Millisecond
	maxRequests = 2
)

// worker is a worker that may turn all requests away.
type worker struct {
	*kit.Worker

	mu       sync.Mutex
	troubled bool
	arrivals []arrival
	pauses   []pause
}

// arrival is a request that reached a worker, from a host.
type arrival struct {
	host, id string
	at       time.Time
}

// pause is an answer with Retry-After to a host.
type pause struct {
	host, id string
	at       time.Time
	length   time.Duration
}

// ServeHTTP runs a request or turns it away.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id, host := r.Header.Get("Request-Id"), r.Header.Get(sentTo)
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{host, id, time.Now()})
	w.mu.Unlock()
	time.Sleep(workTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.troubled {
		rw.Header().Set("Response-Signature", "sig."+id)
		io.WriteString(rw, "answer to "+id)
		return
	}
	length := minPause + rand.N(maxPause-minPause)
	w.pauses = append(w.pauses, pause{host, id, time.Now(), length})
	rw.Header().Set("Not-Executed", "1")
	rw.Header().Set("Retry-After", strconv.FormatFloat(length.Seconds(), 'f', 3, 64))
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func (w *worker) setTroubled(troubled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.troubled = troubled
}

// check judges each answer with Retry-After.
func (w *worker) check(r *kit.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pauses {
		var ids []string
		for _, a := range w.arrivals {
			if a.host == p.host && a.at.After(p.at.Add(lag)) && a.at.Before(p.at.Add(p.length)) {
				ids = append(ids, fmt.Sprintf("%s at %.3f", a.id, r.Since(a.at)))
			}
		}
		r.Logf("%s answered %s (request %s) at %.3f with 503 and Retry-After %.3f; from half a second later to the end of that time it got %d requests from there", w.ID, p.host, p.id, r.Since(p.at), p.length.Seconds(), len(ids))
		if len(ids) > maxRequests {
			r.Breach("BUDGET: %d requests after the answer at %.3f with Retry-After %.3f to %s: %v", len(ids), r.Since(p.at), p.length.Seconds(), p.host, ids)
		}
	}
}

// sentTo is a header of the clients that names the host to which they sent a request.
const sentTo = "X-Sent-To"

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	var all []*worker
	for i := range workers {
		w := &worker{}
		w.Worker = kit.NewWorker(r, store, fmt.Sprintf("i-%d", i+1), "desk", []string{"zone-a", "zone-b"}[i%2], 6, w)
		w.Start()
		all = append(all, w)
	}
	kit.PutConfig(r, store, 1,
		[]map[string]any{{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 0, "service": "desk", "attempts": 2, "stages": []any{}, "public": false}},
		[]map[string]any{{"name": "desk", "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}})
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	load(r, hosts, calmTime)
	if r.Trouble {
		r.Logf("%s turns all requests away", all[0].ID)
		all[0].setTroubled(true)
	}
	load(r, hosts, troubleTime)
	all[0].check(r)
}

// load sends clumps of requests to all hosts for d.
func load(r *kit.Run, hosts []*kit.Host, d time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, statuses := 0, map[int]int{}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(clumpInterval) {
		for i := range clumpSize * len(hosts) {
			h := hosts[i%len(hosts)]
			sent++
			wg.Go(func() {
				a := kit.Send(r, h, kit.NewID(), kit.Request{Method: http.MethodGet, Host: "desk.example", Path: "/stock/17", Deadline: 1500 * time.Millisecond, Header: map[string]string{sentTo: h.Name}})
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	r.Logf("clients: %d requests sent, answers by status %v", sent, statuses)
}
