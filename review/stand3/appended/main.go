// Appended is the program of case 15: a version of the configuration appends a stage to a
// route, withdraws a key and moves another route.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

// Bounds of the users' pages.
const (
	contactTime = 3 * time.Second
	configApply = 2 * time.Second
)

const requestInterval = 100 * time.Millisecond

// withdrawn is a key that the last configuration lacks.
const withdrawn = "jnbanfqasnmgkcuyj8pj"

// ran records which service ran which request.
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
	return out
}

// stageDoc is a stage of a route.
func stageDoc(service string, after ...int) map[string]any {
	if after == nil {
		after = []int{}
	}
	return map[string]any{"service": service, "after": after, "bytes": 8000}
}

// pool is a service that is used by stages.
func pool(name string) map[string]any {
	return map[string]any{"name": name, "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false,
		"segments": map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 150.0, "itemMs": 16.0, "headroomMb": 36.0, "handleS": 4.0, "bandwidthMbps": 10000}}
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	j := &ran{service: map[string]string{}}
	for i, service := range []string{"desk", "desk", "desk-new", "desk-new", "models"} {
		kit.NewWorker(r, store, fmt.Sprintf("i-%d", i+1), service, []string{"zone-a", "zone-b"}[i%2], 6, j.worker(service)).Start()
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthCheck": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	}
	put := func(version int, service string, stages []map[string]any, keys ...string) {
		ok := kit.TryPutConfig(r, store, version, keys,
			[]map[string]any{
				{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 0, "service": service, "attempts": 2, "stages": []any{}, "public": false},
				{"name": "digest", "host": "desk.example", "pathPrefix": "/digest/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 1900, "priority": 1, "service": "models", "attempts": 2, "stages": stages, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 500},
			},
			[]map[string]any{plain("desk"), plain("desk-new"), plain("models"), pool("index"), pool("summary")})
		if !ok {
			r.Cannot("configuration %d was not written", version)
		}
	}
	put(3, "desk", []map[string]any{stageDoc("index")}, kit.Key, withdrawn)
	hosts := kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"})
	load(r, hosts, contactTime)

	// The route gets a step before the one that it has. The new stage has the next number, 1,
	// as clients say in Chunks by number how many pieces each stage has.
	stages := []map[string]any{stageDoc("index", 1), stageDoc("summary")}
	if !r.Trouble {
		stages = []map[string]any{stageDoc("summary"), stageDoc("index", 0)}
	}
	put(8, "desk-new", stages, kit.Key)
	acked := time.Now()
	load(r, hosts, configApply+time.Second)

	right := 0
	for _, s := range load(r, hosts, 4*time.Second) {
		late := s.at.Sub(acked).Seconds()
		switch service := j.of(s.ID); {
		case s.key == withdrawn && service != "":
			r.Breach("CONFIG: request %s, sent to %s %.3f s after version 8 was acknowledged, was run by %s with the key that version 8 withdraws", s.ID, s.host, late, service)
		case service == "desk":
			r.Breach("CONFIG: request %s, sent to %s %.3f s after version 8 was acknowledged, was run by the service of the older version", s.ID, s.host, late)
		case service != "":
			right++
		}
	}
	r.Logf("%d requests were run as version 8 says", right)
}
