// Copies is the program of case 11: workers of a stage pool send a second copy of some of
// their answers, late, at the point where the next answer is expected.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

const (
	// faulty of the poolWorkers workers of the pool send copyShare of their answers twice.
	faulty, poolWorkers = 12, 20
	copyShare           = 0.03
	// pieces is the number of pieces of each request.
	pieces = poolSlots * poolBatch
	// The clients of each host send clumpSize requests at once every clumpInterval, for
	// loadTime.
	clumpSize     = 10
	clumpInterval = 450 * time.Millisecond
	loadTime      = 98 * time.Second
	// firstEventTime is the time for which a model worker reads a prompt.
	firstEventTime = time.Second
	events         = 5
)

// engine is a model worker. It fetches the inputs of a request before it reads the prompt.
type engine struct {
	run     *kit.Run
	results *results
	mu      sync.Mutex
	ran     int
}

// ServeHTTP runs a request on its inputs.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	inputs := r.Header.Get("Inputs")
	if inputs == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var foreign []string
	for _, handle := range strings.Split(inputs, ",") {
		res, live, known := e.results.find(handle)
		if !live {
			if known && res.request != id {
				e.run.Logf("request %s is given the result %s of request %s, which is gone", id, handle, res.request)
			}
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		if res.request != id {
			foreign = append(foreign, fmt.Sprintf("%s (request %s, stage %d, piece %d)", handle, res.request, res.stage, res.segment))
		}
	}
	if len(foreign) > 0 {
		e.run.Breach("MIXED: request %s runs on the inputs of another request: %s", id, strings.Join(foreign, "; "))
	}
	e.mu.Lock()
	e.ran++
	e.mu.Unlock()
	w.Header().Set("Response-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstEventTime)
	for i := range events {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	res := &results{made: map[string]result{}, freed: map[string]bool{}}
	model := &engine{run: r, results: res}
	for i, zone := range []string{"zone-a", "zone-b"} {
		kit.NewWorker(r, store, fmt.Sprintf("i-m%d", i+1), "models", zone, 32, model).Start()
	}
	var pool []*poolWorker
	for i := range poolWorkers {
		zone := []string{"zone-a", "zone-b"}[i%2]
		p := &poolWorker{Worker: kit.NewWorker(r, store, fmt.Sprintf("i-p%d", i+1), "index", zone, poolSlots, nil), run: r, results: res, slots: make(chan struct{}, poolSlots)}
		if r.Trouble && i < faulty {
			p.copyShare = copyShare
		}
		p.listen()
		pool = append(pool, p)
	}
	kit.PutConfig(r, store, 1,
		[]map[string]any{{"name": "advice", "host": "desk.example", "pathPrefix": "/advice/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 1900, "priority": 0, "service": "models", "attempts": 2,
			"stages": []map[string]any{{"service": "index", "after": []int{}, "bytes": 8000}}, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 500}},
		[]map[string]any{
			{"name": "models", "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false},
			{"name": "index", "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false,
				"segments": map[string]any{"slots": poolSlots, "queue": poolQueue, "batch": poolBatch, "callMs": 150.0, "itemMs": 16.0, "headroomMb": 36.0, "handleS": resultLife.Seconds(), "bandwidthMbps": 10000}},
		})
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	load(r, hosts)
	for _, p := range pool {
		p.mu.Lock()
		r.Logf("%s: %d answers, %d of them sent twice", p.ID, p.answers, p.copies)
		p.mu.Unlock()
	}
	r.Logf("models ran %d requests", model.ran)
}

// load sends requests to all hosts in clumps.
func load(r *kit.Run, hosts []*kit.Host) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, statuses := 0, map[int]int{}
	for until := time.Now().Add(loadTime); time.Now().Before(until); time.Sleep(clumpInterval) {
		for i := range clumpSize * len(hosts) {
			h := hosts[i%len(hosts)]
			sent++
			wg.Go(func() {
				id := kit.NewID()
				a := kit.Send(r, h, id, kit.Request{Method: http.MethodPost, Host: "desk.example", Path: "/advice/1", Body: "prompt of " + id, Deadline: 8 * time.Second, Header: map[string]string{
					"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id[:8] + ":250",
					"Chunks": fmt.Sprint(pieces), "Chunk-Key": "key" + id[:9]}})
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	r.Logf("clients: %d requests sent, answers by status %v", sent, statuses)
}
