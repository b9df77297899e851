package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// linkCluster is some hosts whose links to each other and to targets are harmed at
// random, with callers whose responses are checked.
type linkCluster struct {
	*fixture
	addrs []netip.Addr // of the hosts
	rand  *rand.Rand
	// end is the time at which callers stop.
	end time.Time

	mu sync.Mutex
	// runs is the number of targets that ran each request.
	runs   map[string]int
	served int
}

const (
	linkHosts, linkTargets, linkCallers = 3, 4, 6
	linkFaultTime, linkRecoveryTime     = 12 * time.Second, 6 * time.Second
)

// run answers a request after a while with its ID, as a body or as three events.
func (c *linkCluster) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	c.mu.Lock()
	c.runs[id]++
	c.mu.Unlock()
	w.Header().Set("Signed", "t")
	if sleep(r.Context(), 20*time.Millisecond) != nil {
		return
	}
	if !strings.HasPrefix(id, "stream") {
		io.WriteString(w, id)
		return
	}
	for event := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event+1, id)
		http.NewResponseController(w).Flush()
	}
}

// want returns the complete response to a request.
func (c *linkCluster) want(id string) string {
	body := id
	if strings.HasPrefix(id, "stream") {
		body = ""
		for event := range 3 {
			body += fmt.Sprintf("id: %d\ndata: %s\n\n", event+1, id)
		}
	}
	return fmt.Sprintf("200 signed t %q", body)
}

func newLinkCluster(t *testing.T, seed uint64) *linkCluster {
	c := &linkCluster{rand: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}}
	var routes []*catalog.Route
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		routes = append(routes, route(kind, func(r *catalog.Route) {
			r.Name, r.Prefix = kind.String(), "/"+kind.String()+"/"
			if kind == catalog.Stream {
				r.Resumable, r.Stages = true, []catalog.Stage{{Service: "p"}}
			}
		})...)
	}
	behaviours := make([]behaviour, linkTargets)
	for i := range behaviours {
		behaviours[i] = c.run
	}
	c.fixture = prepareFixture(t, routes, behaviours...)
	c.addrs = c.startHosts(linkHosts)
	return c
}

// injectFault harms one link and returns what it did. A cut or a delay is healed
// after a while.
func (c *linkCluster) injectFault() string {
	a := c.addrs[c.rand.IntN(len(c.addrs))]
	b := c.addrs[c.rand.IntN(len(c.addrs))]
	if b == a || c.rand.IntN(3) == 0 {
		b = targetAddr(c.rand.IntN(linkTargets)).Addr()
	}
	d := time.Duration(100+c.rand.IntN(1500)) * time.Millisecond
	switch c.rand.IntN(4) {
	case 0:
		c.network.Reset(a, b)
		return fmt.Sprintf("reset %v %v", a, b)
	case 1:
		c.network.Silence(a, b)
		return fmt.Sprintf("silence %v %v", a, b)
	case 2:
		c.network.Cut(a, b)
		time.AfterFunc(d, func() { c.network.Heal(a, b) })
		return fmt.Sprintf("cut %v to %v for %v", a, b, d)
	default:
		c.network.SetDelay(a, b, d/4)
		time.AfterFunc(d, func() { c.network.SetDelay(a, b, c.network.Delay) })
		return fmt.Sprintf("delay %v to %v by %v for %v", a, b, d/4, d)
	}
}

// call sends one request to a host and checks its response.
func (c *linkCluster) call(host netip.Addr, kind, id string) bool {
	const wait = 4 * time.Second
	start := time.Now()
	got := c.postTo(host, "/"+kind+"/"+id, "Id", id, "Wait", fmt.Sprint(wait.Milliseconds()), "Pieces", "2")
	if took := time.Since(start); took > wait+time.Second {
		c.t.Errorf("%s took %v", id, took)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] > 1 && kind == "unsafe" {
		c.t.Errorf("%s ran %d times", id, c.runs[id])
	}
	switch {
	case got == c.want(id):
		c.served++
		return true
	case got == "503":
		if c.runs[id] > 0 {
			c.t.Errorf("%s was refused and ran %d times", id, c.runs[id])
		}
	case got != "502" && got != "504" && !strings.Contains(got, " cut after "):
		c.t.Errorf("%s got %s", id, got)
	}
	return false
}

// TestHarmedLinks resets, cuts, delays and silences the links among hosts and to
// targets while callers send requests. No response may be wrong, no unsafe request may
// run twice, and a refused one not at all; once the links are whole all are served.
func TestHarmedLinks(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newLinkCluster(t, seed)
				c.end = time.Now().Add(linkFaultTime)
				var wg sync.WaitGroup
				for i := range linkCallers {
					r := rand.New(rand.NewPCG(seed, uint64(i+1)))
					wg.Go(func() {
						for n := 0; time.Now().Before(c.end); n++ {
							kind := []string{"safe", "unsafe", "stream"}[r.IntN(3)]
							c.call(c.addrs[r.IntN(len(c.addrs))], kind, fmt.Sprintf("%s-%d-%d", kind, i, n))
							time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
						}
					})
				}
				for time.Now().Before(c.end) {
					time.Sleep(time.Duration(c.rand.IntN(400)) * time.Millisecond)
					t.Log(time.Until(c.end), c.injectFault())
				}
				wg.Wait()
				t.Logf("%d requests served amid faults", c.served)
				time.Sleep(linkRecoveryTime)
				for i, addr := range c.addrs {
					for _, kind := range []string{"safe", "unsafe", "stream"} {
						if id := fmt.Sprintf("%s-after-%d", kind, i); !c.call(addr, kind, id) {
							t.Errorf("%s was not served after the faults", id)
						}
					}
				}
				c.client.CloseIdleConnections()
			})
		})
	}
}
