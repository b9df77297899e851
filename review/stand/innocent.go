package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case "innocent".
const (
	innocentSendEvery = 125 * time.Millisecond
	innocentThings    = 2
	innocentDeadline  = 8 * time.Second
	// deadlyFrom is when requests with the deadly part begin to come, one each
	// deadlyEvery; innocentTime is the length of the run.
	deadlyFrom   = 10 * time.Second
	deadlyEvery  = time.Second
	innocentTime = 70 * time.Second
	crashTime    = 3 * time.Second
	contactTime  = 3 * time.Second
	// lastCounted is the number of the crash from which the rule counts, if there are
	// so many.
	lastCounted = 5
	// leastCounted is the least number of requests that are compared.
	leastCounted = 20
)

const (
	firstPart  = "5c1e07a2:6300"
	deadlyPart = "91bd3f06"
)

// runInnocent sends sound requests, many of them alike, and beside them requests with
// a part that crashes workers. It returns 1 if the sound ones begin less than half as
// often after the crashes as before.
func runInnocent(s *Stand) (int, error) {
	var mu sync.Mutex
	var crashes []time.Time
	begun := map[string]bool{}
	handle := func(c *workerConn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("Request-Id")
		deadly := strings.Contains(req.Header.Get("Prompt-Prefix"), deadlyPart)
		s.Record.Add("%s reaches worker %s", id, c.worker.ID)
		return c.stream(req, streamPlan{first: 300 * time.Millisecond, pause: 40 * time.Millisecond, events: 17}, func() bool {
			mu.Lock()
			defer mu.Unlock()
			if deadly {
				crashes = append(crashes, time.Now())
				go c.worker.Crash(crashTime)
				return false
			}
			begun[id] = true
			s.Record.Add("worker %s begins %s", c.worker.ID, id)
			return true
		})
	}
	if _, err := s.StartWorkers(engineService, 31, 3, 128, handle); err != nil {
		return 0, err
	}
	if err := s.StartHosts(2, config([]map[string]any{streamRoute("menu", 8000, 2, nil)}, []map[string]any{engine})); err != nil {
		return 0, err
	}
	start := time.Now()
	var sound []*Request
	var sent sync.WaitGroup
	send := func(q *Request, h *Host) {
		sent.Go(func() {
			s.Record.Add("client sends %s %s to %s", q.ID, q.Path, h.Name)
			q.Send(h)
			s.Record.Add("client has %s from %s: %s", q.ID, q.Machine, q.Outcome())
		})
	}
	if s.Trouble {
		sent.Go(func() {
			time.Sleep(deadlyFrom)
			for i := 0; time.Since(start) < innocentTime; i++ {
				send(&Request{ID: newID("deadly"), Method: http.MethodPost, Host: routeHost, Path: fmt.Sprintf("/menu/d%d", i), Key: tenantKey,
					Body: fmt.Sprintf("text %d", i), Prompt: fmt.Sprintf("%s,%s:410,d%x:250", firstPart, deadlyPart, i), Deadline: innocentDeadline}, s.Hosts[i%len(s.Hosts)])
				time.Sleep(deadlyEvery)
			}
		})
	}
	for i := 0; time.Since(start) < innocentTime; i++ {
		thing := rand.IntN(innocentThings)
		q := &Request{ID: newID("sound"), Method: http.MethodPost, Host: routeHost, Path: fmt.Sprintf("/menu/%d", thing), Key: tenantKey,
			Body: fmt.Sprintf("the week's menu of canteen %d", thing), Prompt: fmt.Sprintf("%s,e4402b7%d:2000,%x:890", firstPart, thing, i), Deadline: innocentDeadline}
		sound = append(sound, q)
		send(q, s.Hosts[i%len(s.Hosts)])
		time.Sleep(innocentSendEvery)
	}
	sent.Wait()
	if s.Trouble && len(crashes) == 0 {
		return 0, fmt.Errorf("no worker crashed")
	}
	after := start.Add(deadlyFrom + crashTime)
	if n := min(len(crashes), lastCounted); n > 0 {
		after = crashes[n-1].Add(2 * contactTime)
	}
	return s.compare(sound, begun, start.Add(deadlyFrom), after, len(crashes)), nil
}

// compare compares how many of the requests sent before one time and after another
// have begun. It returns 1 if these are less than half as many of those that came.
func (s *Stand) compare(requests []*Request, begun map[string]bool, before, after time.Time, crashes int) int {
	var n, ran [2]int
	for _, q := range requests {
		period := -1
		switch {
		case q.SentAt.Before(before):
			period = 0
		case q.SentAt.After(after):
			period = 1
		}
		if period < 0 {
			continue
		}
		n[period]++
		if begun[q.ID] {
			ran[period]++
		}
	}
	s.Record.Say("%d crashes of workers", crashes)
	s.Record.Say("sound requests that began at the first attempt: %d of %d before, %d of %d later", ran[0], n[0], ran[1], n[1])
	if n[0] < leastCounted || n[1] < leastCounted {
		return 0
	}
	if float64(ran[1])/float64(n[1]) < float64(ran[0])/float64(n[0])/2 {
		s.Record.Say("LOST: the sound requests begin less than half as often")
		return 1
	}
	return 0
}
