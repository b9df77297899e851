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

// newPlatformClient serves h and returns a platform client for it.
func newPlatformClient(t *testing.T, h http.Handler) *platform.Client {
	t.Helper()
	f := newFixture(t, h)
	return &platform.Client{LogAddr: f.addr, HostListAddr: f.addr, HTTP: f.client}
}

// appendEntry appends one entry and returns the error.
func appendEntry(c *platform.Client, id string) error {
	_, err := c.Append(context.Background(), "S", []platform.Entry{{ID: id}})
	return err
}

// readIDs reads the stream from an offset and formats the offsets and entry IDs.
func readIDs(t *testing.T, c *platform.Client, from platform.Offset, wait time.Duration) string {
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

func TestLogAppendFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		c := newPlatformClient(t, l)
		var refusal *platform.RefusedError
		l.SetFaults(LogFaults{LoseAnswers: true})
		if err := appendEntry(c, "lost"); err == nil || errors.As(err, &refusal) {
			t.Errorf("append with a lost answer returned %v", err)
		}
		l.SetFaults(LogFaults{DropAppends: true})
		if err := appendEntry(c, "dropped"); err == nil || errors.As(err, &refusal) {
			t.Errorf("dropped append returned %v", err)
		}
		l.SetFaults(LogFaults{Down: true})
		if err := appendEntry(c, "refused"); !errors.As(err, &refusal) || refusal.RetryAfter == 0 {
			t.Errorf("append to a log that is down returned %v", err)
		}
		l.SetFaults(LogFaults{})
		if diff := cmp.Diff("oldest 1 next 2: lost", readIDs(t, c, 1, 0)); diff != "" {
			t.Errorf("stream (-want +got):\n%s", diff)
		}
	})
}

func TestLogRetentionAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPlatformClient(t, &Log{Retention: time.Minute, MaxRecords: 2, AppendsPerSecond: 10})
		refused := 0
		for i := range 5 {
			if appendEntry(c, fmt.Sprint("a", i)) != nil {
				refused++
			}
		}
		if refused == 0 {
			t.Error("five appends without a pause stayed within a limit of ten per second")
		}
		for i := range 3 {
			time.Sleep(time.Second)
			if err := appendEntry(c, fmt.Sprint("b", i)); err != nil {
				t.Fatal(err)
			}
		}
		if got := readIDs(t, c, 1, 0); got != "oldest "+fmt.Sprint(9-refused-2)+" next "+fmt.Sprint(9-refused)+": b1 b2" {
			t.Errorf("after the count limit: %s, %d refused", got, refused)
		}
		time.Sleep(time.Minute)
		if got := readIDs(t, c, 1, 0); got != fmt.Sprintf("oldest %d next %d:", 9-refused, 9-refused) {
			t.Errorf("after the time limit: %s", got)
		}
	})
}

func TestLogStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Log{}
		c := newPlatformClient(t, l)
		appendEntry(c, "a")
		time.Sleep(time.Second)
		reader := netip.MustParseAddr("10.0.0.2")
		l.SetFaultsFor(reader, LogFaults{StaleReads: true})
		appendEntry(c, "b")
		if diff := cmp.Diff("oldest 1 next 2: a", readIDs(t, c, 1, 0)); diff != "" {
			t.Errorf("stale (-want +got):\n%s", diff)
		}
		l.SetFaultsFor(reader, LogFaults{StaleBy: 10 * time.Second})
		start := time.Now()
		if diff := cmp.Diff("oldest 1 next 3: b", readIDs(t, c, 2, 30*time.Second)); diff != "" {
			t.Errorf("late (-want +got):\n%s", diff)
		}
		if time.Since(start) < 9*time.Second {
			t.Error("the delayed record became visible too early")
		}
	})
}

func TestLogReadWaitsForAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPlatformClient(t, &Log{})
		time.AfterFunc(3*time.Second, func() { appendEntry(c, "a") })
		start := time.Now()
		if diff := cmp.Diff("oldest 1 next 2: a", readIDs(t, c, 1, 10*time.Second)); diff != "" {
			t.Errorf("read (-want +got):\n%s", diff)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("the read returned after %v", took)
		}
	})
}

// bodyCounter counts the body writes of h.
type bodyCounter struct {
	h      http.Handler
	bodies int
}

func (c *bodyCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.h.ServeHTTP(&bodyWriter{w, c}, r)
}

type bodyWriter struct {
	http.ResponseWriter
	counter *bodyCounter
}

func (b *bodyWriter) Write(p []byte) (int, error) {
	b.counter.bodies++
	return b.ResponseWriter.Write(p)
}

// TestHostListLagAndNotModified checks that a list becomes visible after Lag and
// that the body of an unchanged list is sent only once.
func TestHostListLagAndNotModified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &HostList{Lag: 3 * time.Second}
		counted := &bodyCounter{h: l}
		c := newPlatformClient(t, counted)
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
		c := newPlatformClient(t, l)
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

// TestWeightStoreSharesRate checks that two concurrent loads take twice as long.
func TestWeightStoreSharesRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, &WeightStore{ModelBytes: 160 << 20, BytesPerSecond: 16 << 20})
		start := time.Now()
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := f.call(t.Context(), http.MethodGet, WeightsPath, nil)
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
