package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// TestPermitBeforeFirstByte expects the permit to be asked for once there is a connection
// and, if it is refused, no byte to be written and the connection to be closed.
func TestPermitBeforeFirstByte(t *testing.T) {
	const timeout = 10 * time.Second
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.SetDeadline(time.Now().Add(timeout))
	c := &Client{Net: link.TCP{}, Clock: &clock.Service{}}
	defer c.Close()
	errStopped := errors.New("stopped")
	received := make(chan error, 1)
	asked := false
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err = c.Do(ctx, netip.MustParseAddrPort(l.Addr().String()), &Request{
		Method: http.MethodPost, URI: "/", Host: "h.example", Header: http.Header{}, Body: []byte("x"),
		Permit: func() error {
			asked = true
			conn, err := l.Accept()
			if err != nil {
				t.Errorf("the permit was asked for without a connection: %v", err)
				close(received)
				return errStopped
			}
			go func() {
				defer conn.Close()
				conn.SetReadDeadline(time.Now().Add(timeout))
				_, err := conn.Read(make([]byte, 1))
				received <- err
			}()
			return errStopped
		},
	})
	if !errors.Is(err, errStopped) || !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if !asked {
		t.Fatal("the permit was not asked for")
	}
	switch err := <-received; {
	case err == nil:
		t.Error("a byte was sent")
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.Error("the connection stays open")
	}
}
