// Limit is the program of case 14: model workers in need name a limit on their requests, and
// later a much lower one.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

const contactTime = 3 * time.Second

// The rule: within window a worker gets at most factor times what its limit allows, and slack
// requests more.
const (
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// lag is how long after a worker has named a lower limit the former one is still allowed
	// here. The rule gives half a second to a machine that has passed on such an answer.
	lag = time.Second
)

const (
	workers = 3
	// firstLimit and lowLimit are the limits in requests a second that each worker names.
	firstLimit, lowLimit = 30.0, 2.0
	// firstTime is how long the workers name the first limit, lowTime the low one.
	firstTime, lowTime = contactTime + 5*time.Second, 8 * time.Second
	// requestInterval is the time between two requests of the clients of one host.
	requestInterval = 13 * time.Millisecond
)

// worker is a model worker that names a limit.
type worker struct {
	*kit.Worker
	mu       sync.Mutex
	limit    float64
	arrivals []time.Time
	// named holds when the worker named which limit first.
	named []naming
}

type naming struct {
	at    time.Time
	limit float64
}

func (w *worker) setLimit(limit float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	now := time.Now()
	w.mu.Lock()
	w.arrivals = append(w.arrivals, now)
	w.mu.Unlock()
	time.Sleep(40 * time.Millisecond)
	w.mu.Lock()
	if w.limit > 0 {
		rw.Header().Set("Server-Limit", strconv.FormatFloat(w.limit, 'f', 1, 64))
		if n := len(w.named); n == 0 || w.named[n-1].limit != w.limit {
			w.named = append(w.named, naming{time.Now(), w.limit})
		}
	}
	w.mu.Unlock()
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Response-Signature", "sig."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		http.NewResponseController(rw).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// allowed returns how many requests the limits named allow between two times: at each moment
// the largest that was named within lag before it.
func (w *worker) allowed(from, to time.Time) float64 {
	const step = 10 * time.Millisecond
	sum := 0.0
	for t := from; t.Before(to); t = t.Add(step) {
		largest := 0.0
		for i, n := range w.named {
			current := !n.at.After(t) && (i+1 == len(w.named) || w.named[i+1].at.After(t.Add(-lag)))
			if current {
				largest = max(largest, n.limit)
			}
		}
		sum += largest * step.Seconds()
	}
	return sum
}

// check judges all windows that begin contactTime or more after the first limit was named.
func (w *worker) check(r *kit.Run, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.named) == 0 {
		r.Cannot("%s has named no limit", w.ID)
	}
	for _, n := range w.named {
		r.Logf("%s first named the limit %v at second %.3f", w.ID, n.limit, r.Since(n.at))
	}
	worst, most := time.Time{}, 0.0
	for i, from := range w.arrivals {
		if from.Before(w.named[0].at.Add(contactTime)) || from.Add(window).After(end) {
			continue
		}
		got := 0
		for _, at := range w.arrivals[i:] {
			if at.Before(from.Add(window)) {
				got++
			}
		}
		if over := float64(got) - factor*w.allowed(from, from.Add(window)) - slack; over > most {
			worst, most = from, over
		}
	}
	if most > 0 {
		got := w.count(worst, worst.Add(window))
		r.Breach("LIMIT: %s got %d requests in the 4 s from second %.3f; one and a half times what its limits allow, + 5, are %.1f", w.ID, got, r.Since(worst), float64(got)-most)
	}
}

// count returns the number of arrivals between two times.
func (w *worker) count(from, to time.Time) int {
	n := 0
	for _, at := range w.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	var all []*worker
	for i := range workers {
		w := &worker{}
		w.Worker = kit.NewWorker(r, store, fmt.Sprintf("i-%d", i+1), "models", []string{"zone-a", "zone-b"}[i%2], 32, w)
		w.Start()
		all = append(all, w)
	}
	kit.PutConfig(r, store, 1,
		[]map[string]any{{"name": "chat", "host": "desk.example", "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 10000, "targetLatencyMs": 1900, "priority": 0, "service": "models", "attempts": 2, "stages": []any{}, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 500}},
		[]map[string]any{{"name": "models", "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}})
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	setAll := func(limit float64) {
		for _, w := range all {
			w.setLimit(limit)
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		load(r, hosts, stop)
		close(done)
	}()
	time.Sleep(2 * time.Second)
	setAll(firstLimit)
	r.Logf("all workers name the limit %v", firstLimit)
	time.Sleep(firstTime)
	if r.Trouble {
		setAll(lowLimit)
		r.Logf("all workers name the limit %v", lowLimit)
	}
	time.Sleep(lowTime)
	end := time.Now()
	close(stop)
	<-done
	for _, w := range all {
		w.mu.Lock()
		for t := end.Add(-lowTime - 2*time.Second); t.Before(end); t = t.Add(500 * time.Millisecond) {
			r.Logf("%s got %d requests in the half second from %.3f", w.ID, w.count(t, t.Add(500*time.Millisecond)), r.Since(t))
		}
		w.mu.Unlock()
	}
	for _, w := range all {
		w.check(r, end)
	}
}

// load sends requests to all hosts at a steady rate until stop is closed.
func load(r *kit.Run, hosts []*kit.Host, stop chan struct{}) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, statuses := 0, map[int]int{}
	for running := true; running; time.Sleep(requestInterval) {
		select {
		case <-stop:
			running = false
		default:
		}
		for _, h := range hosts {
			sent++
			wg.Go(func() {
				id := kit.NewID()
				a := kit.Send(h, id, kit.Request{Method: http.MethodPost, Host: "desk.example", Path: "/chat/1", Body: "prompt of " + id, Deadline: 10 * time.Second, Header: map[string]string{
					"Model": "m", "Token-Usage": "460,20", "Prompt-Prefix": "5c1e07a2:200,91bd3f06:110," + id[:8] + ":150"}})
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	r.Logf("clients: %d requests sent, answers by status %v", sent, statuses)
}
