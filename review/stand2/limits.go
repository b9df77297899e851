package main

import (
	"net/http"
	"time"
)

func init() { cases["limits"] = runLimits }

// runLimits changes a limit of callers' connections while requests of kept connections run for
// longer than 30 s. The rule is LOST.
func runLimits(b *bench) (bool, error) {
	routes, services := []document{plainRoute("plain", "/plain/", "unsafe", "plain", 60000, 1000)}, []document{plainService("plain")}
	if err := b.configure(7, routes, services); err != nil {
		return false, err
	}
	slow := func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
		if r.URL.Path == "/plain/slow" {
			answerAfter(36*time.Second)(w, rw, r, body)
			return
		}
		answerAfter(10*time.Millisecond)(w, rw, r, body)
	}
	w := &worker{service: "plain", slots: 16, work: slow}
	if err := b.startWorker(w); err != nil {
		return false, err
	}
	hosts, err := b.startHosts(1, smallMachine)
	if err != nil {
		return false, err
	}
	lost := make(chan int, 5)
	for range 5 {
		go func() {
			conn, err := dial(hosts[0].frontend)
			if err != nil {
				lost <- 0
				return
			}
			defer conn.Close()
			conn.do(&call{id: newID(), method: "POST", host: "jepu9.example", target: "/plain/quick", deadline: 50 * time.Second, body: "order"})
			a := conn.do(&call{id: newID(), method: "POST", host: "jepu9.example", target: "/plain/slow", deadline: 50 * time.Second, body: "order"})
			b.note("client gets %v", a)
			if a.status == 0 {
				lost <- 1
				return
			}
			lost <- 0
		}()
	}
	time.Sleep(time.Second)
	if b.trouble {
		limits["idleTimeoutMs"] = 14000
		if err := b.configure(9, routes, services); err != nil {
			return false, err
		}
	}
	n := 0
	for range 5 {
		n += <-lost
	}
	return n > 3, nil
}
