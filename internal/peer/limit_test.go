package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"testing"
	"testing/iotest"
)

// bytesConn is a connection from which given bytes are read.
type bytesConn struct {
	net.Conn
	r io.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// TestMessageLimit checks that messages within the limit pass unchanged, however
// their bytes are split, and that a message that announces more is an error at
// once.
func TestMessageLimit(t *testing.T) {
	sizes := []int{0, 1, 127, 128, 300, 70_000, maxMessageBytes - 100}
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for _, n := range sizes {
		if err := enc.Encode(make([]byte, n)); err != nil {
			t.Fatal(err)
		}
	}
	for name, r := range map[string]io.Reader{"whole": bytes.NewReader(stream.Bytes()), "split": iotest.HalfReader(bytes.NewReader(stream.Bytes()))} {
		dec := gob.NewDecoder(&limitedConn{Conn: bytesConn{r: r}})
		for _, n := range sizes {
			var got []byte
			if err := dec.Decode(&got); err != nil || len(got) != n {
				t.Fatalf("%s: message of %d bytes: got %d bytes, error %v", name, n, len(got), err)
			}
		}
	}
	var large bytes.Buffer
	if err := gob.NewEncoder(&large).Encode(make([]byte, maxMessageBytes)); err != nil {
		t.Fatal(err)
	}
	var got []byte
	err := gob.NewDecoder(&limitedConn{Conn: bytesConn{r: &large}}).Decode(&got)
	if !errors.Is(err, errMessageTooLarge) {
		t.Errorf("message over the limit: error %v", err)
	}
}
