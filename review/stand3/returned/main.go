// Returned is the program of case 13: a worker leaves without reporting it, as the pages say
// that some do; then a drill brings the platform's store back from a copy that still has the
// worker's entry.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

// drainTime is drainMs of the users' pages.
const drainTime = 2 * time.Second

const (
	// requestInterval is the time between two requests of the clients of one host.
	requestInterval = 25 * time.Millisecond
	// entryLag is the time from the first answer with Server-Leaving to the removal of the
	// worker's entry, less than a heartbeat.
	entryLag = 600 * time.Millisecond
	loadTime = 9 * time.Second
	// awayTime is how long the store is away. servesOn is how long the leaving worker serves
	// after that.
	awayTime = time.Second
	servesOn = kit.StreamTime / 2
)

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

// leaver records what reaches the leaving worker.
type leaver struct {
	mu       sync.Mutex
	arrivals []arrival
}

// ServeHTTP runs a request.
func (l *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{r.Header.Get("Request-Id"), time.Now()})
	l.mu.Unlock()
	kit.StreamEvents(w, r)
}

// sending is a request of a client.
type sending struct {
	host string
	at   time.Time
	// whole is set once the client has the whole stream.
	whole bool
}

// clients send requests and note which answers say that their worker leaves.
type clients struct {
	run   *kit.Run
	hosts []*kit.Host

	mu   sync.Mutex
	sent map[string]*sending
	// told holds when each host had first passed on an answer with Server-Leaving.
	told map[string]time.Time
}

// load sends requests to all hosts at a steady rate for d.
func (c *clients) load(d time.Duration) {
	var wg sync.WaitGroup
	sent, cut := 0, 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(requestInterval) {
		for _, h := range c.hosts {
			sent++
			wg.Go(func() {
				id := kit.NewID()
				c.mu.Lock()
				s := &sending{host: h.Name, at: time.Now()}
				c.sent[id] = s
				c.mu.Unlock()
				a := kit.Send(c.run, h, id, kit.StreamRequest(id))
				c.mu.Lock()
				defer c.mu.Unlock()
				if s.whole = kit.StreamWhole(a); !s.whole {
					cut++
				}
				if a.Header.Get("Server-Leaving") != "1" {
					return
				}
				if _, ok := c.told[h.Name]; !ok {
					c.told[h.Name] = time.Now()
					c.run.Logf("%s has passed on an answer with Server-Leaving, to request %s", h.Name, id)
				}
			})
		}
	}
	wg.Wait()
	c.run.Logf("clients: %d requests sent, %d without the whole stream", sent, cut)
}

func main() { kit.Main(run) }

func run(r *kit.Run) {
	store := kit.NewStore(r)
	l := &leaver{}
	newWorker := func(n int, h http.Handler) *kit.Worker {
		return kit.NewWorker(r, store, fmt.Sprintf("i-%d", n), "models", []string{"zone-a", "zone-b"}[n%2], 32, h)
	}
	leaving := newWorker(3, l)
	for _, w := range []*kit.Worker{newWorker(1, http.HandlerFunc(kit.StreamEvents)), newWorker(2, http.HandlerFunc(kit.StreamEvents)), leaving} {
		w.Start()
	}
	kit.PutStreamConfig(r, store, "models")
	c := &clients{run: r, hosts: kit.StartHosts(r, 2, store, []string{"zone-a", "zone-b"}), sent: map[string]*sending{}, told: map[string]time.Time{}}
	loaded := make(chan struct{})
	go func() {
		c.load(loadTime)
		close(loaded)
	}()
	time.Sleep(3 * time.Second)

	old, copied := store.Copy(), time.Now()
	r.Logf("release: i-4 starts, %s leaves without a report, i-5 starts", leaving.ID)
	newWorker(4, http.HandlerFunc(kit.StreamEvents)).Start()
	leaving.Announce()
	time.Sleep(entryLag)
	leaving.SetState("")
	time.Sleep(1500 * time.Millisecond)
	newWorker(5, http.HandlerFunc(kit.StreamEvents)).Start()
	time.Sleep(1200 * time.Millisecond)

	if r.Trouble {
		r.Logf("the store is away for %v", awayTime)
		store.Stop()
	}
	time.Sleep(awayTime)
	if r.Trouble {
		store.Restore(old)
		store.Start(r)
		r.Logf("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
	}
	time.Sleep(servesOn)
	r.Logf("%s exits", leaving.ID)
	leaving.Stop()
	<-loaded
	c.check(l)
}

// check judges the requests that reached the leaving worker.
func (c *clients) check(l *leaver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.told) == 0 {
		c.run.Cannot("no machine has passed on an answer with Server-Leaving")
	}
	for _, a := range l.arrivals {
		s := c.sent[a.id]
		told, ok := c.told[s.host]
		late := s.at.Sub(told)
		if !ok || late <= drainTime {
			continue
		}
		end := "the client got the whole stream"
		if !s.whole {
			end = "the stream was cut when the worker left"
		}
		c.run.Breach("DRAIN: request %s, sent by its client %.3f s after %s had passed on an answer with Server-Leaving, reached the worker from there %.3f s after it; %s", a.id, late.Seconds(), s.host, a.at.Sub(told).Seconds(), end)
	}
}
