// Overwritten is the program of case 12: a drill takes the platform's store away for a moment
// and brings it back from a copy some seconds old. The operator writes its newest configuration
// again, and then a further one, which takes the offset of one that was lost.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

// Bounds of the users' pages. maxSkew stretches configApply at most.
const (
	contactTime = 3 * time.Second
	configApply = 2 * time.Second
	maxSkew     = 5 * time.Second
)

const (
	hostCount       = 4
	requestInterval = 100 * time.Millisecond
	// awayTime is how long the store is away, writeInterval the time between two attempts
	// of the operator to write meanwhile.
	awayTime      = time.Second
	writeInterval = 100 * time.Millisecond
)

// withdrawn is a key that the last configuration lacks.
const withdrawn = "jnbanfqasnmgkcuyj8pj"

// ran records which worker ran which request.
type ran struct {
	mu      sync.Mutex
	service map[string]string
}

func (j *ran) worker(service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		j.mu.Lock()
		j.service[id] = service
		j.mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Response-Signature", "sig."+id)
		io.WriteString(w, "stock of "+r.URL.Path)
	})
}

// of returns the service that ran a request, or an empty string.
func (j *ran) of(id string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.service[id]
}

// sent is a request of a client with its answer.
type sent struct {
	host string
	key  string
	at   time.Time
	kit.Answer
}

// load sends requests with both keys to all hosts at a steady rate for d.
func load(r *kit.Run, hosts []*kit.Host, d time.Duration) []sent {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []sent
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(requestInterval) {
		for _, h := range hosts {
			for _, key := range []string{kit.Key, withdrawn} {
				wg.Go(func() {
					at := time.Now()
					a := kit.Send(r, h, kit.NewID(), kit.Request{Method: http.MethodGet, Host: "desk.example", Path: "/stock/17", Deadline: 1500 * time.Millisecond,
						Header: map[string]string{"Authorization": "Bearer " + key}})
					mu.Lock()
					defer mu.Unlock()
					out = append(out, sent{h.Name, key, at, a})
				})
			}
		}
	}
	wg.Wait()
	statuses := map[string]int{}
	for _, s := range out {
		statuses[fmt.Sprintf("%s, key %s, status %d", s.host, s.key[:4], s.Status)]++
	}
	r.Logf("clients: %d requests sent, answers: %v", len(out), statuses)
	return out
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	j := &ran{service: map[string]string{}}
	for i, service := range []string{"desk", "desk", "desk-new", "desk-new"} {
		kit.NewWorker(r, store, fmt.Sprintf("i-%d", i+1), service, []string{"zone-a", "zone-b"}[i%2], 6, j.worker(service)).Start()
	}
	// put writes a version; the route goes to the given service.
	put := func(version int, service string, timeout int, keys ...string) bool {
		return kit.TryPutConfig(r, store, version, keys,
			[]map[string]any{{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": timeout, "targetLatencyMs": 300, "priority": 0, "service": service, "attempts": 2, "stages": []any{}, "public": false}},
			[]map[string]any{{"name": "desk", "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}, {"name": "desk-new", "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}})
	}
	put(3, "desk", 1500, kit.Key, withdrawn)
	hosts := kit.StartHosts(r, hostCount, store, []string{"zone-a", "zone-b"})
	load(r, hosts, 2*time.Second)

	old, copied := store.Copy(), time.Now()
	put(5, "desk", 1400, kit.Key, withdrawn)
	load(r, hosts, time.Second)
	put(6, "desk", 1300, kit.Key, withdrawn)
	load(r, hosts, configApply)

	back := make(chan struct{})
	if r.Trouble {
		r.Logf("the store is away for %v", awayTime)
		store.Silence()
		time.AfterFunc(awayTime, func() {
			store.Restore(old)
			store.Return()
			r.Logf("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
			close(back)
		})
		time.Sleep(awayTime / 2)
	} else {
		close(back)
	}
	// The operator withdraws a key and moves the route. It tries until the store takes that;
	// what was lost is written again first.
	for r.Trouble && !put(6, "desk", 1300, kit.Key, withdrawn) {
		time.Sleep(writeInterval)
	}
	if !put(8, "desk-new", 1300, kit.Key) {
		r.Cannot("the store is away")
	}
	acked := time.Now()
	<-back
	load(r, hosts, contactTime+configApply+maxSkew)

	calls := 0
	for _, s := range load(r, hosts, 4*time.Second) {
		late := s.at.Sub(acked).Seconds()
		switch service := j.of(s.ID); {
		case s.key == withdrawn && service != "":
			r.Breach("CONFIG: request %s, sent to %s %.3f s after version 8 was acknowledged, was run by %s with the key that version 8 withdraws", s.ID, s.host, late, service)
		case service == "desk":
			r.Breach("CONFIG: request %s, sent to %s %.3f s after version 8 was acknowledged, was run by the service of the older version", s.ID, s.host, late)
		case service != "":
			calls++
		}
	}
	r.Logf("%d requests were run as version 8 says", calls)
}
