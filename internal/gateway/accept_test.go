package gateway

import (
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/google/go-cmp/cmp"
)

// scarceNetwork is a network whose listeners accept nothing while full is set, as when
// a process has no descriptors left.
type scarceNetwork struct {
	link.Network
	full atomic.Bool
}

func (n *scarceNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := n.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &scarceListener{l, n}, nil
}

type scarceListener struct {
	net.Listener
	n *scarceNetwork
}

func (l *scarceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.n.full.Load() {
		conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return conn, err
}

// TestAcceptErrors guards against a host that accepts nothing any more, or ends, after
// its listeners for callers and peers have failed for a while. It isn't ready meanwhile.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := prepareFixture(t, route(catalog.Safe, nil), respondsWith("x"))
		n := &scarceNetwork{Network: r.host.Net}
		r.host.Net = n
		r.start()
		defer r.close()
		n.full.Store(true)
		for range 3 {
			r.post("/a/x", "Id", "r1", "Wait", "1000")
			if conn, err := r.network.Process(callerAddr.Addr()).Dial(t.Context(), netip.AddrPortFrom(hostAddr, 82)); err == nil {
				conn.Close()
			}
			synctest.Wait()
			if r.host.ready() {
				t.Error("ready, though it accepts no connections")
			}
			time.Sleep(time.Second)
		}
		if !r.host.ready() {
			t.Error("not ready, though nothing has failed for a second")
		}
		n.full.Store(false)
		want, got := `200 signed t "x"`, r.post("/a/x", "Id", "r2", "Wait", "1000")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
		if !r.host.ready() {
			t.Error("not ready, though it accepts connections")
		}
	})
}
