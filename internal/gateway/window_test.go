package gateway

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/settings"
)

// TestWideBuffersGiveWayToBodies checks that the receive buffer of a connection is widened
// for a large body while there is memory, that this memory stays counted while the caller
// is connected, and that idle connections give way to bodies. It guards against connections
// whose buffers callers can fill although nothing counts them.
func TestWideBuffersGiveWayToBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes, mostBytes = 300_000, 950_000
		r := newLimitedFixture(t, catalog.Unsafe, mostBytes, func(s *settings.Gateway) { s.BodyMemoryMB = 1 }, respondsWith("x"))
		defer r.close()
		idle := r.dial()
		defer idle.Close()
		r.begin(idle, strings.Repeat("x", bodyBytes), "Content-Length: 300000")
		if got := outcome(idle); got != "200" {
			t.Fatal(got)
		}
		synctest.Wait()
		if used := r.host.bodies.large.Used(); used != windowBytes {
			t.Errorf("%d bytes are counted for an idle connection, want %d", used, windowBytes)
		}
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, strings.Repeat("x", mostBytes), "Content-Length: 950000")
		if got := outcome(conn); got != "200" {
			t.Errorf("the body for which an idle connection has memory: %s", got)
		}
		idle.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := idle.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("the idle connection was not closed: %v", err)
		}
		synctest.Wait()
		if used := r.host.bodies.large.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}
