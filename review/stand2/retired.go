package main

import (
	"sync"
	"time"
)

func init() { cases["retired"] = runRetired }

// Times of the case: that of a call at the former pool, and that from the start of the call to
// the new version of the configuration.
const (
	formerCallTime = 180 * time.Millisecond
	changeAfter    = 50 * time.Millisecond
)

// runRetired moves the stage of a route from one pool to another by a new version of the
// configuration, which no longer has the former pool, while a call runs there. The worker then
// answers that it has no room for the result. The rule is LOST, as in the case reservations.
func runRetired(b *bench) (bool, error) {
	route := func(pool string) document {
		r := plainRoute("staged", "/staged/", "stream", "models", 8000, 1900)
		r["stages"] = []document{{"service": pool, "after": []int{}, "bytes": 60000}}
		r["sticky"], r["itlTargetMs"] = true, 500
		return r
	}
	kept := plainRoute("plain", "/plain/", "safe", "plain", 5000, 1000)
	services := []document{plainService("plain"), plainService("models")}
	former, next := poolService("former-pool", 150, 11, 2.3), poolService("next-pool", 150, 11, 2.3)
	if err := b.configure(7, []document{kept, route("former-pool")}, append(services, former)); err != nil {
		return false, err
	}
	plain := &worker{service: "plain", slots: 32, work: answerAfter(plainTime)}
	pool := &worker{service: "former-pool", callTime: formerCallTime}
	for _, w := range []*worker{
		plain, pool,
		{service: "models", slots: 128, work: eventStream(100*time.Millisecond, 20*time.Millisecond, 5, shortData)},
		{service: "next-pool", callTime: 180 * time.Millisecond},
	} {
		if err := b.startWorker(w); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(2, smallMachine)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var results []*keptResults
	for _, h := range hosts {
		results = append(results, startKept(b, h, plain, stop))
	}
	time.Sleep(2 * time.Second)
	sendStaged(b, hosts[0])
	var change sync.Once
	pool.called = func() {
		change.Do(func() {
			if !b.trouble {
				return
			}
			time.Sleep(changeAfter)
			if err := b.configure(9, []document{kept, route("next-pool")}, append(services, next)); err != nil {
				b.note("cannot write the configuration: %v", err)
			}
		})
	}
	b.note("the worker of former-pool has no room for results from now on, for 300 ms")
	pool.full.Store(true)
	time.AfterFunc(300*time.Millisecond, func() { pool.full.Store(false) })
	sendStaged(b, hosts[0])
	time.Sleep(2 * time.Second)
	close(stop)
	lost := 0
	for i, k := range results {
		n := k.wait()
		lost = max(lost, n)
		b.note("%s ended by itself: %v; requests of its kept connections that were passed on and got no answer: %d, allowed are 3", hosts[i].name, hosts[i].endedByItself(), n)
	}
	return lost > 3, nil
}

// sendStaged sends a request with two pieces.
func sendStaged(b *bench, h *host) {
	b.send(h, &call{id: newID(), method: "POST", host: "jepu9.example", target: "/staged/2f", deadline: 8 * time.Second,
		headers: []string{"Model: m", "Token-Usage: 400,40", "Prompt-Prefix: 5c1e07a2:300,91bd3f06:100", "Chunks: 2", "Chunk-Key: 7c1e07a291bd"}, body: "prompt"})
}
