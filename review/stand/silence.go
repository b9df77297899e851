package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case "silence".
const (
	silenceSendEvery = 150 * time.Millisecond
	silenceSendUntil = 3500 * time.Millisecond
	silenceTermAt    = 3 * time.Second
	silenceDeadline  = 15 * time.Second
	// A request that is put back for a more urgent one is silent for putBackTime. The
	// callers leave after 7.6 s, four times the route's objective.
	putBackTime = 2 * time.Second
	usualPause  = 50 * time.Millisecond
	// putBackAfter and silenceEvents are numbers of events.
	putBackAfter  = 20
	silenceEvents = 40
)

// runSilence stops a host as planned while a worker puts requests back and reads them
// in again. It returns how many requests were lost.
func runSilence(s *Stand) (int, error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	handle := func(c *workerConn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		s.Record.Add("worker %s runs %s", c.worker.ID, id)
		p := streamPlan{first: 300 * time.Millisecond, pause: usualPause, events: silenceEvents}
		if s.Trouble {
			p.putBackAfter, p.putBackTime = putBackAfter, putBackTime
		}
		whole := c.stream(req, p, nil)
		s.Record.Add("worker %s ends %s, whole: %v", c.worker.ID, id, whole)
		return whole
	}
	workers, err := s.StartWorkers(engineService, 31, 2, 128, handle)
	if err != nil {
		return 0, err
	}
	route := streamRoute("note", 15000, 2, nil)
	route["resumable"] = true
	if err := s.StartHosts(2, config([]map[string]any{route}, []map[string]any{engine})); err != nil {
		return 0, err
	}
	s.Record.Say("worker %s reports draining", workers[1].ID)
	workers[1].Register("draining")
	time.Sleep(time.Second)
	stopped := s.Hosts[0]
	start := time.Now()
	var requests []*Request
	var sent sync.WaitGroup
	sent.Go(func() {
		time.Sleep(silenceTermAt)
		s.Record.Say("%s gets SIGTERM", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
		<-stopped.exited
		s.Record.Say("%s has ended %.1f s after SIGTERM: %s", stopped.Name, time.Since(start.Add(silenceTermAt)).Seconds(), stopped.State())
	})
	for time.Since(start) < silenceSendUntil {
		q := &Request{ID: newID("note"), Method: http.MethodPost, Host: routeHost, Path: "/note/2f", Key: tenantKey,
			Body: fmt.Sprintf("note %d", len(requests)), Prompt: fmt.Sprintf("5c1e07a2:172,%x:543", len(requests)), Deadline: silenceDeadline}
		requests = append(requests, q)
		sent.Go(func() {
			s.Record.Add("client sends %s to %s", q.ID, stopped.Name)
			q.Send(stopped)
			s.Record.Add("client has %s from %s: %s", q.ID, q.Machine, q.Outcome())
		})
		time.Sleep(silenceSendEvery)
	}
	sent.Wait()
	lost, cut := 0, 0
	term := start.Add(silenceTermAt)
	for _, q := range requests {
		if !ran[q.ID] || q.Complete {
			continue
		}
		cut++
		// The rule counts what ends around the planned work.
		if q.DoneAt.After(term) {
			lost++
			s.Record.Add("LOST: %s was passed on to a worker and has no complete answer: %s", q.ID, q.Outcome())
		}
	}
	s.Record.Say("%d of %d requests that a worker ran have no complete answer, %d of them ended after SIGTERM", cut, len(requests), lost)
	return lost, nil
}
