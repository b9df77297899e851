package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["bursts"] = runBursts }

// The case: bursts of requests with a part that crashes workers, all of one burst at the same
// time. The bursts are further apart than contactMs.
const (
	modelWorkers  = 8
	burstCount    = 5
	burstInterval = 4500 * time.Millisecond
	contactTime   = 3 * time.Second
	badPart       = "91bd3f06"
	downTime      = 2500 * time.Millisecond
	prefillTime   = 150 * time.Millisecond
	soundInterval = 100 * time.Millisecond
)

// runBursts sends the bursts beside sound requests of the same tenant with the same first part.
// The rule is BUDGET: not more than three requests with the part reach workers that were sent
// later than contactMs after the fifth crash.
func runBursts(b *bench) (bool, error) {
	route := plainRoute("models", "/models/", "stream", "models", 8000, 1900)
	route["sticky"], route["itlTargetMs"], route["attempts"] = true, 500, 1
	if err := b.configure(7, []document{route}, []document{plainService("models")}); err != nil {
		return false, err
	}
	log := &crashLog{}
	for range modelWorkers {
		if err := b.startWorker(&worker{service: "models", slots: 128, work: log.runPrompt}); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(2, smallMachine)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range hosts {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				clients.Go(func() { log.sound(b.send(h, prompt("5c1e07a2:300"))) })
				time.Sleep(soundInterval)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range burstCount {
		parts := "5c1e07a2:300"
		if b.trouble {
			parts += "," + badPart + ":410"
		}
		for i := range modelWorkers {
			clients.Go(func() { b.send(hosts[i%len(hosts)], prompt(parts)) })
		}
		time.Sleep(burstInterval)
	}
	close(stop)
	clients.Wait()
	late := log.late(b)
	return late > 3, nil
}

// prompt returns a request with the given shared parts and one of its own.
func prompt(parts string) *call {
	id := newID()
	return &call{id: id, method: "POST", host: "jepu9.example", target: "/models/2f", deadline: 8 * time.Second,
		headers: []string{"Model: m", "Token-Usage: 2900,40", "Prompt-Prefix: " + parts + "," + id[8:] + ":2000"}, body: "prompt " + id}
}

// crashLog records what the model workers see.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	// arrivals are the times of the requests with the bad part, failures those at which sound
	// requests ended without a complete stream.
	arrivals, failures []time.Time
}

// sound records the answer to a sound request.
func (l *crashLog) sound(a answer) {
	if a.status == http.StatusOK && a.err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now())
}

// runPrompt answers a sound request with a stream, and crashes the worker with one that has
// the bad part when it begins to write the answer.
func (l *crashLog) runPrompt(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), badPart) {
		eventStream(prefillTime, 20*time.Millisecond, 10, shortData)(w, rw, r, body)
		return
	}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	w.began(r, r.Header.Get("Request-Id"))
	time.Sleep(prefillTime)
	if w.crash(downTime) {
		l.mu.Lock()
		l.crashes = append(l.crashes, time.Now())
		l.mu.Unlock()
	}
}

// late returns the number of requests with the bad part that reached workers later than
// contactMs after the fifth crash. The hosts are in touch all the while.
func (l *crashLog) late(b *bench) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < 5 {
		b.note("%d crashes", len(l.crashes))
		return 0
	}
	count := func(times []time.Time) (n int) {
		for _, at := range times {
			if at.Sub(l.crashes[4]) > contactTime {
				n++
			}
		}
		return n
	}
	n := count(l.arrivals)
	b.note("%d crashes, the fifth at %.3f; %d requests with the part reached workers later than %v after it, allowed are 3",
		len(l.crashes), l.crashes[4].Sub(b.start).Seconds(), n, contactTime)
	b.note("crashes later than that: %d; sound requests that ended without a complete stream later than that: %d", count(l.crashes), count(l.failures))
	return n
}
