package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// alikeLoad is a load of sound requests, each like one of two but for the last part of
// its prompt, and of bad requests, which crash targets.
type alikeLoad struct {
	length time.Duration
	// badFrom is when bad requests begin to come, one each badEvery.
	badFrom, badEvery time.Duration
	// bad returns the path and the parts of bad request i.
	bad func(i int) (path, parts string)
}

const alikeEvery = 125 * time.Millisecond

// run sends the load and reports which sound requests were served, by the time of
// sending.
func (l *alikeLoad) run(c *crashingTargets) map[time.Time]bool {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		time.Sleep(l.badFrom)
		for i := range int((l.length - l.badFrom) / l.badEvery) {
			path, parts := l.bad(i)
			wg.Go(func() { c.askPath(path, fmt.Sprint("bad", i), parts) })
			time.Sleep(l.badEvery)
		}
	})
	var mu sync.Mutex
	served := map[time.Time]bool{}
	var sound sync.WaitGroup
	for i := range int(l.length / alikeEvery) {
		sent := time.Now()
		sound.Go(func() {
			ok := c.askPath(fmt.Sprint("/a/menu", i/2%2), fmt.Sprint("sound", i), fmt.Sprint("a,b,own", i))
			mu.Lock()
			defer mu.Unlock()
			served[sent] = ok
		})
		time.Sleep(alikeEvery)
	}
	sound.Wait()
	return served
}

// TestSoundRequestsThatAreAlike guards against the refusal of sound requests that are
// alike because targets crashed under them: each copy that one crash broke counted, and
// no answer cleared them.
func TestSoundRequestsThatAreAlike(t *testing.T) {
	const badFrom, settleTime, maxCounted = 5 * time.Second, 6 * time.Second, 5
	for name, kind := range map[string]catalog.Kind{"streams": catalog.Stream, "plain answers": catalog.Safe} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingTargets(t, kind, 3)
				c.eventPause = 400 * time.Millisecond
				defer c.r.close()
				start := time.Now()
				l := &alikeLoad{length: 30 * time.Second, badFrom: badFrom, badEvery: time.Second, bad: func(i int) (string, string) {
					return fmt.Sprint("/a/d", i), fmt.Sprint("a,bad,own", i)
				}}
				served := l.run(c)
				if len(c.crashes) == 0 {
					t.Fatal("no target crashed")
				}
				settled := c.lastOf(maxCounted).Add(settleTime)
				began, asked := countServed(served, settled)
				if 2*began < asked {
					t.Errorf("%d of %d sound requests were served later than %v after the fifth crash", began, asked, settleTime)
				}
				allServed, all := countServed(served, start.Add(-1))
				t.Logf("%d crashes; %d of %d sound requests served, later %d of %d", len(c.crashes), allServed, all, began, asked)
			})
		})
	}
}

// TestRequestThatCrashesTargets sends one request again and again that crashes each
// target, beside sound ones that are alike too. Few copies of it may reach targets once
// it has crashed three, and the sound ones must be served.
func TestRequestThatCrashesTargets(t *testing.T) {
	const maxCounted, maxLate, contactTime = 3, 3, 3 * time.Second
	for name, kind := range map[string]catalog.Kind{"streams": catalog.Stream, "plain answers": catalog.Safe} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingTargets(t, kind, 5)
				c.eventPause = 400 * time.Millisecond
				defer c.r.close()
				l := &alikeLoad{length: 20 * time.Second, badFrom: time.Second, badEvery: 500 * time.Millisecond, bad: func(i int) (string, string) {
					return "/a/bad", fmt.Sprint("a,b,bown", i)
				}}
				served := l.run(c)
				if len(c.crashes) < maxCounted {
					t.Fatalf("%d crashes", len(c.crashes))
				}
				late := c.late(maxCounted, contactTime)
				if late > maxLate {
					t.Errorf("%d copies reached targets later than %v after the third crash, of %d in all", late, contactTime, len(c.arrivals))
				}
				began, asked := countServed(served, c.lastOf(maxCounted).Add(2*contactTime))
				if 2*began < asked {
					t.Errorf("%d of %d sound requests were served", began, asked)
				}
				t.Logf("%d crashes, %d copies at targets, %d late; %d of %d sound requests served", len(c.crashes), len(c.arrivals), late, began, asked)
			})
		})
	}
}

// TestBrokenResponsesBlockNothing has live targets break off or garble some responses
// to requests that are alike. None of these may be refused: no target crashed.
func TestBrokenResponsesBlockNothing(t *testing.T) {
	const requests, breakEach = 60, 3
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		n := 0
		b := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			n++
			i := n
			mu.Unlock()
			if i%breakEach != 0 {
				w.Header().Set("Signed", "t")
			}
			fmt.Fprint(w, "id: 0\n\n")
			if i%breakEach == 1 {
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
		r := newFixture(t, route(catalog.Stream, nil), b, b)
		defer r.close()
		refused := 0
		for i := range requests {
			if got := r.post("/a/menu", "Id", fmt.Sprint("r", i), "Wait", "8000", "Parts", "a,b,own"); strings.HasPrefix(got, "503") {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if refused > 0 {
			t.Errorf("%d of %d requests were refused", refused, requests)
		}
	})
}

// TestTrialsOfWhatStillCrashes sends requests with a part, or one request, that crash
// targets for half an hour. Few may reach targets once they are blocked: trials once
// came each 30 s without an end.
func TestTrialsOfWhatStillCrashes(t *testing.T) {
	const maxCounted, maxLate, contactTime = 5, 3, 3 * time.Second
	const length, badEvery = 30 * time.Minute, 5 * time.Second
	for name, bad := range map[string]func(i int) (path, parts string){
		"a part":    func(i int) (string, string) { return fmt.Sprint("/a/d", i), fmt.Sprint("a,bad,own", i) },
		"a request": func(i int) (string, string) { return "/a/bad", fmt.Sprint("a,b,own", i) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingTargets(t, catalog.Stream, 5)
				defer c.r.close()
				for i := range int(length / badEvery) {
					path, parts := bad(i)
					c.askPath(path, fmt.Sprint("bad", i), parts)
					time.Sleep(badEvery)
				}
				if len(c.crashes) < maxCounted {
					t.Fatalf("%d crashes", len(c.crashes))
				}
				late := c.late(maxCounted, contactTime)
				if late > maxLate {
					t.Errorf("%d requests reached targets later than %v after the fifth crash, of %d in all", late, contactTime, len(c.arrivals))
				}
				t.Logf("%d crashes, %d requests at targets, %d late", len(c.crashes), len(c.arrivals), late)
			})
		})
	}
}
