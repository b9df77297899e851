package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/google/go-cmp/cmp"
)

// platformSite serves h and returns a client of it.
func platformSite(t *testing.T, h http.Handler) *platform.Client {
	t.Helper()
	s := newSite(t, h)
	return &platform.Client{LogAddr: s.addr, HostListAddr: s.addr, HTTP: s.client}
}

// add appends one entry and returns the error.
func add(c *platform.Client, id string) error {
	_, err := c.Append(context.Background(), "S", []platform.Entry{{ID: id}})
	return err
}

// ids reads a stream from an offset and names what came.
func ids(t *testing.T, c *platform.Client, from platform.Offset, wait time.Duration) string {
	t.Helper()
	batch, err := c.Read(t.Context(), "S", from, wait)
	if err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprintf("oldest %d next %d:", batch.Oldest, batch.Next)
	for _, r := range batch.Records {
		out += " " + r.ID
	}
	return out
}

func TestLogLosesAnswerAfterTheAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		c := platformSite(t, l)
		var refusal *platform.RefusedError
		l.SetFaults(LogFaults{LoseAnswers: true})
		if err := add(c, "lost"); err == nil || errors.As(err, &refusal) {
			t.Errorf("the append with a lost answer gave %v", err)
		}
		l.SetFaults(LogFaults{DropAppends: true})
		if err := add(c, "dropped"); err == nil || errors.As(err, &refusal) {
			t.Errorf("the dropped append gave %v", err)
		}
		l.SetFaults(LogFaults{Down: true})
		if err := add(c, "refused"); !errors.As(err, &refusal) || refusal.RetryAfter == 0 {
			t.Errorf("the log that is down gave %v", err)
		}
		l.SetFaults(LogFaults{})
		if diff := cmp.Diff("oldest 1 next 2: lost", ids(t, c, 1, 0)); diff != "" {
			t.Errorf("stream (-want +got):\n%s", diff)
		}
	})
}

func TestLogRetentionAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := platformSite(t, &Log{Retention: time.Minute, MaxRecords: 2, AppendsPerSecond: 10})
		refused := 0
		for i := range 5 {
			if add(c, fmt.Sprint("a", i)) != nil {
				refused++
			}
		}
		if refused == 0 {
			t.Error("five appends at once passed a limit of ten a second")
		}
		for i := range 3 {
			time.Sleep(time.Second)
			if err := add(c, fmt.Sprint("b", i)); err != nil {
				t.Fatal(err)
			}
		}
		if got := ids(t, c, 1, 0); got != "oldest "+fmt.Sprint(9-refused-2)+" next "+fmt.Sprint(9-refused)+": b1 b2" {
			t.Errorf("after the count limit: %s, %d refused", got, refused)
		}
		time.Sleep(time.Minute)
		if got := ids(t, c, 1, 0); got != fmt.Sprintf("oldest %d next %d:", 9-refused, 9-refused) {
			t.Errorf("after the time limit: %s", got)
		}
	})
}

func TestLogStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		c := platformSite(t, l)
		add(c, "a")
		time.Sleep(time.Second)
		reader := netip.MustParseAddr("10.0.0.2")
		l.SetFaultsFor(reader, LogFaults{StaleReads: true})
		add(c, "b")
		if diff := cmp.Diff("oldest 1 next 2: a", ids(t, c, 1, 0)); diff != "" {
			t.Errorf("stale (-want +got):\n%s", diff)
		}
		l.SetFaultsFor(reader, LogFaults{StaleBy: 10 * time.Second})
		start := time.Now()
		if diff := cmp.Diff("oldest 1 next 3: b", ids(t, c, 2, 30*time.Second)); diff != "" {
			t.Errorf("late (-want +got):\n%s", diff)
		}
		if time.Since(start) < 9*time.Second {
			t.Error("the late record came early")
		}
	})
}

func TestLogReadWaitsForAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := platformSite(t, &Log{})
		time.AfterFunc(3*time.Second, func() { add(c, "a") })
		start := time.Now()
		if diff := cmp.Diff("oldest 1 next 2: a", ids(t, c, 1, 10*time.Second)); diff != "" {
			t.Errorf("read (-want +got):\n%s", diff)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("the read came %v after the start", took)
		}
	})
}

// countBodies counts the answers of h that had a body.
type countBodies struct {
	h      http.Handler
	bodies int
}

func (c *countBodies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.h.ServeHTTP(&bodyWriter{w, c}, r)
}

type bodyWriter struct {
	http.ResponseWriter
	c *countBodies
}

func (b *bodyWriter) Write(p []byte) (int, error) {
	b.c.bodies++
	return b.ResponseWriter.Write(p)
}

// TestHostListLagsAndCostsLittle checks the lag, and that an unchanged list is
// sent once.
func TestHostListLagsAndCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &HostList{Lag: 3 * time.Second}
		counted := &countBodies{h: l}
		c := platformSite(t, counted)
		states := func() string {
			hosts, err := c.Hosts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var out string
			for _, h := range hosts {
				out += h.Name + "=" + string(h.State)
			}
			return out
		}
		l.Set([]platform.HostEntry{{Name: "t", State: platform.Live}})
		got := []string{states()}
		time.Sleep(4 * time.Second)
		got = append(got, states(), states(), states())
		l.Set([]platform.HostEntry{{Name: "t", State: platform.Leaving}})
		got = append(got, states())
		time.Sleep(4 * time.Second)
		got = append(got, states())
		if diff := cmp.Diff([]string{"", "t=Live", "t=Live", "t=Live", "t=Live", "t=Leaving"}, got); diff != "" {
			t.Errorf("states (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(3, counted.bodies); diff != "" {
			t.Errorf("bodies sent (-want +got):\n%s", diff)
		}
	})
}

func TestHostListFlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &HostList{}
		c := platformSite(t, l)
		l.Set([]platform.HostEntry{{Name: "t", State: platform.Live}})
		l.SetFaults(HostListFaults{Flap: []string{"t"}, FlapPeriod: time.Second})
		seen := map[platform.HostState]int{}
		for range 10 {
			hosts, err := c.Hosts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			seen[hosts[0].State]++
			time.Sleep(time.Second)
		}
		if seen[platform.Live] == 0 || seen[platform.Leaving] == 0 {
			t.Errorf("states seen: %v", seen)
		}
	})
}

// TestWeightStoreShares checks that two loads together take twice as long.
func TestWeightStoreShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, &WeightStore{ModelBytes: 160 << 20, BytesPerSecond: 16 << 20})
		start := time.Now()
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := s.call(t.Context(), http.MethodGet, WeightsPath, nil)
				done <- err
			}()
		}
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(start).Round(time.Second); took != 19*time.Second {
			t.Errorf("two loads of 10 s, less the burst of 1 s, took %v", took)
		}
	})
}
