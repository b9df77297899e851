package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["pause"] = runPause }

// The case: a worker turns away what comes in a short time, and asks for pauses that differ.
const (
	turnAwayTime = 30 * time.Millisecond
	pauseRun     = 7 * time.Second
)

// runPause lets one of two workers turn away the requests that it has at one moment, each with
// a Retry-After of its own. The rule is BUDGET: not more than two requests reach it from a
// machine between half a second after such an answer and the end of the time in it.
func runPause(b *bench) (bool, error) {
	if err := b.configure(7, []document{plainRoute("plain", "/plain/", "safe", "plain", 5000, 1000)}, []document{plainService("plain")}); err != nil {
		return false, err
	}
	p := &pauseLog{seconds: []string{"5", "1"}}
	for _, w := range []*worker{{service: "plain", slots: 8, work: p.run}, {service: "plain", slots: 8, work: answerAfter(15 * time.Millisecond)}} {
		if err := b.startWorker(w); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(1, smallMachine)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	results := startKept(b, hosts[0], &worker{}, stop)
	time.Sleep(time.Second)
	if b.trouble {
		p.turnAway()
	}
	time.Sleep(pauseRun)
	close(stop)
	results.wait()
	return p.early(b) > 2, nil
}

// pauseLog records the pauses that the worker has asked for, and what reached it.
type pauseLog struct {
	mu sync.Mutex
	// seconds are the values of Retry-After of the next answers that turn a request away.
	seconds  []string
	turning  bool
	turned   int
	pauses   []pause
	arrivals []time.Time
}

type pause struct{ from, to time.Time }

// turnAway makes the worker turn requests away until it has asked for all pauses.
func (p *pauseLog) turnAway() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turning = true
}

func (p *pauseLog) run(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	value, wait := "", turnAwayTime
	if p.turning && len(p.seconds) > 0 {
		value, wait = p.seconds[0], turnAwayTime*time.Duration(1+p.turned)
		p.seconds = p.seconds[1:]
		p.turned++
	}
	p.mu.Unlock()
	if value == "" {
		answerAfter(15*time.Millisecond)(w, rw, r, body)
		return
	}
	// The request was in the queue for a moment, a later one for longer.
	time.Sleep(wait)
	id := r.Header.Get("Request-Id")
	w.b.note("worker %s turns %s away, Retry-After: %s", w.instance(), id, value)
	d, err := time.ParseDuration(value + "s")
	if err != nil {
		w.b.note("bad pause: %v", err)
	}
	now := time.Now()
	p.mu.Lock()
	p.pauses = append(p.pauses, pause{now.Add(500 * time.Millisecond), now.Add(d)})
	p.mu.Unlock()
	rw.Header().Set("Retry-After", value)
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// early returns the greatest number of requests that reached the worker within one pause.
func (p *pauseLog) early(b *bench) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, pause := range p.pauses {
		n := 0
		for _, at := range p.arrivals {
			if at.After(pause.from) && at.Before(pause.to) {
				n++
			}
		}
		b.note("between %.3f and %.3f, half a second after the answer and the end of its Retry-After, %d requests reached the worker, allowed are 2",
			pause.from.Sub(b.start).Seconds(), pause.to.Sub(b.start).Seconds(), n)
		most = max(most, n)
	}
	return most
}
