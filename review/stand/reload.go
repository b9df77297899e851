package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times of the case "reload".
const (
	reloadSendEvery = 150 * time.Millisecond
	// reloadTermAt is when the first host gets SIGTERM, reloadHupAt when its settings
	// change, reloadSendUntil when the last request is sent to it.
	reloadTermAt    = 4 * time.Second
	reloadHupAt     = 5 * time.Second
	reloadSendUntil = 4500 * time.Millisecond
	reloadDeadline  = 8 * time.Second
)

// runReload stops a host as planned, and tells it during its grace period that its
// settings have changed. It returns how many requests were lost.
func runReload(s *Stand) (int, error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	handle := func(c *workerConn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		s.Record.Add("worker %s runs %s", c.worker.ID, id)
		whole := c.stream(req, streamPlan{first: 300 * time.Millisecond, pause: 40 * time.Millisecond, events: 60}, nil)
		s.Record.Add("worker %s ends %s, whole: %v", c.worker.ID, id, whole)
		return whole
	}
	if _, err := s.StartWorkers(engineService, 31, 3, 128, handle); err != nil {
		return 0, err
	}
	if err := s.StartHosts(2, config([]map[string]any{streamRoute("chat", 15000, 1, nil)}, []map[string]any{engine})); err != nil {
		return 0, err
	}
	stopped := s.Hosts[0]
	start := time.Now()
	var requests []*Request
	var sent sync.WaitGroup
	send := func() {
		q := &Request{ID: newID("chat"), Method: http.MethodPost, Host: routeHost, Path: "/chat/2f", Key: tenantKey,
			Body: "text", Prompt: fmt.Sprintf("5c1e07a2:172,%x:543", len(requests)), Deadline: reloadDeadline}
		requests = append(requests, q)
		sent.Go(func() {
			s.Record.Add("client sends %s to %s", q.ID, stopped.Name)
			q.Send(stopped)
			s.Record.Add("client has %s from %s: %s", q.ID, q.Machine, q.Outcome())
		})
	}
	sent.Go(func() {
		time.Sleep(reloadTermAt)
		s.Record.Say("%s gets SIGTERM", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
		time.Sleep(reloadHupAt - reloadTermAt)
		if s.Trouble {
			now := time.Now()
			os.Chtimes(stopped.settingsFile, now, now)
			s.Record.Say("%s gets SIGHUP", stopped.Name)
			stopped.Signal(syscall.SIGHUP)
		}
		<-stopped.exited
		s.Record.Say("%s has ended %.1f s after SIGTERM: %s", stopped.Name, time.Since(start.Add(reloadTermAt)).Seconds(), stopped.State())
	})
	for time.Since(start) < reloadSendUntil {
		send()
		time.Sleep(reloadSendEvery)
	}
	sent.Wait()
	lost := 0
	for _, q := range requests {
		if ran[q.ID] && !q.Complete {
			lost++
			s.Record.Add("LOST: %s was passed on to a worker and has no complete answer: %s", q.ID, q.Outcome())
		}
	}
	s.Record.Say("%d of %d requests that a worker ran have no complete answer", lost, len(requests))
	return lost, nil
}
