package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// TestGivenUpRequestDoesNotArrive has a target that doesn't read while a request to it
// is given up, and reads on later. The rest of the request was delivered then.
func TestGivenUpRequestDoesNotArrive(t *testing.T) {
	// bodyBytes is more than the buffers of a connection hold.
	const bodyBytes = 32 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &Client{Net: link.TCP{}, Clock: &clock.Service{}}
	defer c.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, netip.MustParseAddrPort(l.Addr().String()), &Request{
			Method: http.MethodPost, URI: "/", Host: "h.example", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), bodyBytes),
		})
		ended <- err
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(100 * time.Millisecond)
	giveUp()
	if err := <-ended; err == nil {
		t.Error("a request that was given up has a response")
	}
	before := time.Now()
	n, err := io.Copy(io.Discard, conn)
	if err == nil {
		t.Errorf("the connection ended as if the request were complete, after %d bytes and %v", n, time.Since(before))
	}
}
