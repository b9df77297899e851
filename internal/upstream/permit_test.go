package upstream

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// TestPermitBeforeFirstByte expects the permit to be asked for once there is a connection
// and, if it is refused, no byte to be written.
func TestPermitBeforeFirstByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &Client{Net: link.TCP{}, Clock: &clock.Service{}}
	defer c.Close()
	errStopped := errors.New("stopped")
	received := make(chan int, 1)
	_, err = c.Do(t.Context(), netip.MustParseAddrPort(l.Addr().String()), &Request{
		Method: http.MethodPost, URI: "/", Host: "h.example", Header: http.Header{}, Body: []byte("x"),
		Permit: func() error {
			conn, err := l.Accept()
			if err != nil {
				t.Errorf("the permit was asked for without a connection: %v", err)
				return errStopped
			}
			go func() {
				defer conn.Close()
				conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				n, _ := conn.Read(make([]byte, 1))
				received <- n
			}()
			return errStopped
		},
	})
	if !errors.Is(err, errStopped) || !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if n := <-received; n != 0 {
		t.Error("a byte was sent")
	}
}
