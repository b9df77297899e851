package host

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestCrowdAtTLSListener checks that connections that don't complete their TLS handshake are
// bounded and end, and that hosts stay in touch meanwhile: without the log, a host without
// contact with others refuses work. It guards against a limit that counts connections only
// once their handshake is complete.
func TestCrowdAtTLSListener(t *testing.T) {
	const peerConns, crowd = 4, 50
	files := issueCertificate(t, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		c := newTLSCluster(t, files, peerConns)
		defer c.close()
		c.cut(tlsLogAddr.Addr(), true)
		var conns []net.Conn
		for i := range crowd {
			conn, err := c.net.Process(callerAddr).Dial(t.Context(), netip.AddrPortFrom(tlsHostAddrs[1], 81))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if i%2 == 0 {
				// The start of a handshake record.
				conn.Write([]byte{22, 3, 1, 1})
			}
			conns = append(conns, conn)
		}
		if n := countOpen(conns); n > peerConns {
			t.Errorf("%d of %d connections are open, want at most %d", n, crowd, peerConns)
		}
		time.Sleep(time.Minute)
		if n := countOpen(conns); n > 0 {
			t.Errorf("%d connections are open after a minute", n)
		}
		if got, want := c.call(1), "OK Yes 200 OK"; got != want {
			t.Errorf("the host answers %q, want %q", got, want)
		}
	})
}

// countOpen returns the number of connections that the other side has not closed.
func countOpen(conns []net.Conn) int {
	n := 0
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); os.IsTimeout(err) {
			n++
		}
	}
	return n
}
