package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/memory"
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

// encoded returns the gob messages of slices of the given sizes.
func encoded(t *testing.T, sizes ...int) []byte {
	t.Helper()
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for _, n := range sizes {
		if err := enc.Encode(make([]byte, n)); err != nil {
			t.Fatal(err)
		}
	}
	return stream.Bytes()
}

// TestMessageMemory checks that large messages share a budget, which a connection returns
// when it reads on after a message and when it is closed, and that small ones need none. It
// guards against a message on each of many connections, which together exceed the host's
// memory.
func TestMessageMemory(t *testing.T) {
	const large = 3 * smallMessageBytes
	budget := &memory.Budget{Bytes: 5 * smallMessageBytes}
	receive := func(text []byte) (*limitedConn, *gob.Decoder) {
		near, far := net.Pipe()
		go far.Write(text)
		t.Cleanup(func() { far.Close() })
		c := &limitedConn{Conn: near, memory: budget.NewAllowance()}
		return c, gob.NewDecoder(c)
	}
	var got []byte
	first, dec := receive(encoded(t, large, 1, large))
	for range 3 {
		if err := dec.Decode(&got); err != nil {
			t.Fatal(err)
		}
	}
	if used := budget.Used(); used < large {
		t.Errorf("%d bytes are counted for a message of %d bytes", used, large)
	}
	second, dec := receive(encoded(t, smallMessageBytes/2, large))
	if err := dec.Decode(&got); err != nil {
		t.Errorf("a small message: %v", err)
	}
	if err := dec.Decode(&got); !errors.Is(err, errNoMessageMemory) {
		t.Errorf("a large message without memory: error %v", err)
	}
	first.Close()
	second.Close()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are counted for closed connections", used)
	}
}

// TestMessageTimeout checks that a message that stops before its end ends its connection,
// and that a connection may be idle between messages. It guards against connections that
// hold the memory of a message for as long as their senders like.
func TestMessageTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &memory.Budget{Bytes: maxMessageBytes}
		near, far := net.Pipe()
		defer far.Close()
		c := &limitedConn{Conn: near, memory: budget.NewAllowance()}
		defer c.Close()
		dec := gob.NewDecoder(c)
		go func() {
			text := encoded(t, 2*smallMessageBytes, 1)
			far.Write(text[:smallMessageBytes])
			time.Sleep(messageTimeout / 2)
			far.Write(text[smallMessageBytes:])
			time.Sleep(10 * messageTimeout)
			far.Write(encoded(t, 2*smallMessageBytes)[:smallMessageBytes])
		}()
		var got []byte
		for range 2 {
			if err := dec.Decode(&got); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		if err := dec.Decode(&got); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("an incomplete message: error %v", err)
		}
		if took, want := time.Since(start), 11*messageTimeout; took != want {
			t.Errorf("the connection failed after %v, want %v", took, want)
		}
	})
}

// TestBusyConnectionHasNoTimeout checks that each message has a time of its own. It guards
// against a limit that runs on while one message after the other is read in parts.
func TestBusyConnectionHasNoTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const messages, pause = 10, messageTimeout / 2
		var writes sync.WaitGroup
		defer writes.Wait()
		budget := &memory.Budget{Bytes: maxMessageBytes}
		near, far := net.Pipe()
		defer far.Close()
		c := &limitedConn{Conn: near, memory: budget.NewAllowance()}
		defer c.Close()
		sizes := make([]int, messages)
		for i := range sizes {
			sizes[i] = 1000
		}
		text := encoded(t, sizes...)
		writes.Go(func() {
			// Each part ends within a message.
			for len(text) > 0 {
				n := min(1500, len(text))
				far.Write(text[:n])
				text = text[n:]
				time.Sleep(pause)
			}
		})
		dec := gob.NewDecoder(c)
		for range messages {
			var got []byte
			if err := dec.Decode(&got); err != nil {
				t.Fatal(err)
			}
		}
	})
}
