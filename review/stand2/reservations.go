package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["reservations"] = runReservations }

// Sizes and times of the case.
const (
	// poolCount clients send a request with stages, keptClients one request after another:
	// three in ten of them all leave. The first stage has one worker, which runs a call of
	// eight pieces at a time.
	poolCount     = 12
	keptClients   = 28
	firstCallTime = 280 * time.Millisecond
	plainTime     = 700 * time.Millisecond
)

// runReservations kills, or with STOP=TERM in the environment stops, one of two hosts while requests with stages run at the other one.
// Their clients leave before their deadline. The rule is LOST: more than three requests of
// kept connections must not be passed on to a sound worker and then end without an answer.
func runReservations(b *bench) (bool, error) {
	routes := []document{plainRoute("plain", "/plain/", "safe", "plain", 5000, 1000)}
	services := []document{plainService("plain"), plainService("models"), poolService("first", 150, 16, 36)}
	plain := &worker{service: "plain", slots: 32, work: answerAfter(plainTime)}
	workers := []*worker{plain, {service: "models", slots: 128, work: eventStream(100*time.Millisecond, 20*time.Millisecond, 10, shortData)}, {service: "first", callTime: firstCallTime}}
	for i := range poolCount {
		pool := fmt.Sprintf("pool-%d", i)
		route := plainRoute(pool, fmt.Sprintf("/staged/%d/", i), "stream", "models", 10000, 1900)
		route["stages"] = []document{{"service": "first", "after": []int{}, "bytes": 8000}, secondStage(i), secondStage(i + poolCount/3), secondStage(i + 2*poolCount/3)}
		route["sticky"], route["itlTargetMs"] = true, 500
		routes = append(routes, route)
		services = append(services, poolService(pool, 150, 11, 2.3))
		workers = append(workers, &worker{service: pool, callTime: 150 * time.Millisecond})
	}
	if err := b.configure(7, routes, services); err != nil {
		return false, err
	}
	for _, w := range workers {
		if err := b.startWorker(w); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(2, smallMachine)
	if err != nil {
		return false, err
	}
	calm, victim := hosts[0], hosts[1]
	stop := make(chan struct{})
	kept := startKept(b, calm, plain, stop)
	time.Sleep(2 * time.Second)
	var staged []*clientConn
	for i := range poolCount {
		conn, err := dial(calm.frontend)
		if err != nil {
			return false, err
		}
		c := &call{id: newID(), method: "POST", host: "jepu9.example", target: fmt.Sprintf("/staged/%d/2f", i), deadline: 10 * time.Second,
			headers: []string{"Model: m", "Token-Usage: 400,40", "Prompt-Prefix: 5c1e07a2:300," + newID() + ":100", "Chunks: 8,1,1,1", "Chunk-Key: 7c1e07a291bd"}, body: "prompt"}
		b.note("client sends %s POST %s to %s", c.id, c.target, calm.name)
		if _, err := conn.Write([]byte(c.text())); err != nil {
			return false, err
		}
		staged = append(staged, conn)
	}
	time.Sleep(200 * time.Millisecond)
	if b.trouble {
		if os.Getenv("STOP") == "TERM" {
			b.note("%s is asked to stop", victim.name)
			victim.terminate()
		} else {
			b.note("%s is killed", victim.name)
			victim.kill()
		}
	}
	time.Sleep(time.Second)
	b.note("the clients of the requests with stages leave")
	for _, conn := range staged {
		conn.Close()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	lost := kept.wait()
	b.note("%s ended by itself: %v; requests of kept connections that were passed on and got no answer: %d, allowed are 3", calm.name, calm.endedByItself(), lost)
	return lost > 3, nil
}

// secondStage returns a stage of the given pool that needs the results of the first stage.
func secondStage(pool int) document {
	return document{"service": fmt.Sprintf("pool-%d", pool%poolCount), "after": []int{0}, "bytes": 8000}
}

// keptResults is what clients got that send requests on kept connections, one after another.
type keptResults struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	lost int
}

func startKept(b *bench, h *host, w *worker, stop chan struct{}) *keptResults {
	k := &keptResults{}
	for range keptClients {
		k.wg.Go(func() {
			conn, err := dial(h.frontend)
			if err != nil {
				b.note("client cannot connect to %s: %v", h.name, err)
				return
			}
			defer conn.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := &call{id: newID(), method: "GET", host: "jepu9.example", target: "/plain/lo7", deadline: 5 * time.Second}
				b.note("client sends %s GET %s to %s, request %d of its connection", c.id, c.target, h.name, n+1)
				a := conn.do(c)
				b.note("client gets for %s: %v", c.id, a)
				if a.status == 0 {
					if n > 0 && w.ran(c.id) > 0 {
						k.mu.Lock()
						k.lost++
						k.mu.Unlock()
					}
					return
				}
			}
		})
	}
	return k
}

// wait waits for the clients and returns the number of requests that were passed on and got
// no answer.
func (k *keptResults) wait() int {
	k.wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lost
}
