package link

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestReceiveBuffer checks how much a peer can send ahead on a connection that is not read.
// It guards against buffers that the kernel sizes, and against a window that stays small
// after Widen.
func TestReceiveBuffer(t *testing.T) {
	const narrow, wide ReceiveBuffer = 16 << 10, 64 << 10
	for _, c := range []struct {
		name   string
		opened func(t *testing.T) (receives, sends net.Conn)
	}{
		{"Accepted", func(t *testing.T) (net.Conn, net.Conn) { return connect(t, TCP{ReceiveBuffer: narrow}, TCP{}) }},
		{"Dialled", func(t *testing.T) (net.Conn, net.Conn) {
			sends, receives := connect(t, TCP{}, TCP{ReceiveBuffer: narrow})
			return receives, sends
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			receives, sends := c.opened(t)
			if got, want := Granted(receives), int(narrow.MostUnread()); got != want {
				t.Errorf("a buffer of %d bytes was granted, want %d", got, want)
			}
			if n := fill(t, receives, sends); n < int(narrow)/2 || n > int(narrow.MostUnread()) {
				t.Errorf("%d bytes are unread, want %d to %d", n, narrow/2, narrow.MostUnread())
			}
			if err := Widen(receives, wide); err != nil {
				t.Fatal(err)
			}
			if got, want := Granted(receives), int(wide.MostUnread()); got != want {
				t.Errorf("a buffer of %d bytes was granted by Widen, want %d", got, want)
			}
			if n := mostUnread(t, receives, sends, int(narrow.MostUnread())); n <= int(narrow.MostUnread()) || n > int(wide.MostUnread()) {
				t.Errorf("%d bytes are unread after Widen, want more than %d and at most %d", n, narrow.MostUnread(), wide.MostUnread())
			}
		})
	}
}

// connect returns both ends of a connection, the accepted one first.
func connect(t *testing.T, accepts, dials TCP) (accepted, dialled net.Conn) {
	t.Helper()
	l, err := accepts.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err = dials.Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted, dialled
}

// mostUnread fills the buffer until more than enough bytes are unread, and returns the
// largest number of unread bytes of several attempts. The kernel opens the window by and by while bytes are received and read.
func mostUnread(t *testing.T, receives, sends net.Conn, enough int) int {
	t.Helper()
	const attempts, passed = 20, 1 << 20
	most := 0
	for range attempts {
		if most > enough {
			break
		}
		sends.SetWriteDeadline(time.Time{})
		go sends.Write(make([]byte, passed))
		if _, err := io.CopyN(io.Discard, receives, passed); err != nil {
			t.Fatal(err)
		}
		most = max(most, fill(t, receives, sends))
	}
	return most
}

// fill sends until the receiver's kernel takes no more, and returns the number of unread
// bytes.
func fill(t *testing.T, receives, sends net.Conn) int {
	t.Helper()
	block := make([]byte, 1<<20)
	for {
		sends.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := sends.Write(block); n == 0 && err != nil {
			break
		}
	}
	raw, err := receives.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return unread
}
