package link

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
)

// namedConn is a connection that records that it was closed.
type namedConn struct {
	net.Conn
	name   string
	source netip.Addr
	closed *[]string
}

func (c *namedConn) Close() error {
	*c.closed = append(*c.closed, c.name)
	return nil
}

func (c *namedConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.source, 0))
}

// TestConnLimit checks which connections give way to new ones. It guards against a limit
// that closes connections in use, or those of served callers before those that never sent
// a request.
func TestConnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		refused := 0
		l := &ConnLimit{Max: 3, Clock: &clock.Service{}, OnClose: func(_ net.Addr, r bool) {
			if r {
				refused++
			}
		}}
		open := func(name string, states ...http.ConnState) *namedConn {
			c := &namedConn{name: name, closed: &closed}
			for _, s := range append([]http.ConnState{http.StateNew}, states...) {
				l.Record(c, s)
			}
			time.Sleep(time.Second)
			return c
		}
		served := open("served", http.StateActive, http.StateIdle)
		open("silent", http.StateNew)
		busy := open("busy", http.StateActive)
		open("another silent")
		open("busy too", http.StateActive)
		open("busy as well", http.StateActive)
		open("one too many")
		if diff := cmp.Diff([]string{"silent", "another silent", "served", "one too many"}, closed); diff != "" || refused != 1 {
			t.Errorf("%d refused, closed (-want +got):\n%s", refused, diff)
		}
		l.Record(served, http.StateClosed)
		l.Record(busy, http.StateClosed)
		open("after the end of another one")
		if len(closed) != 4 {
			t.Errorf("closed %q although there was room", closed[4:])
		}
	})
}

// TestConnLimitSparesSmallSources checks that the source with the most connections beyond its
// share loses its own first. It guards against a caller that displaces the idle connections
// of all others by opening many.
func TestConnLimitSparesSmallSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		l := &ConnLimit{Max: 16, Clock: &clock.Service{}}
		open := func(name string, host byte, states ...http.ConnState) {
			c := &namedConn{name: name, source: netip.AddrFrom4([4]byte{10, 0, 0, host}), closed: &closed}
			for _, s := range append([]http.ConnState{http.StateNew}, states...) {
				l.Record(c, s)
			}
			time.Sleep(time.Second)
		}
		open("kept", 1, http.StateActive, http.StateIdle)
		open("silent", 2)
		for range 14 {
			open("of many", 3, http.StateActive, http.StateIdle)
		}
		open("one more", 3, http.StateActive)
		open("and another", 4)
		if diff := cmp.Diff([]string{"of many", "of many"}, closed); diff != "" {
			t.Errorf("closed (-want +got):\n%s", diff)
		}
	})
}
