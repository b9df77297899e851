package gateway

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// tcpPair returns both ends of a TCP connection, the first one as a host sees it. The
// caller's receive buffer is small, so that the host's kernel holds what it doesn't read.
func tcpPair(t *testing.T, writePause time.Duration) (net.Conn, net.Conn) {
	t.Helper()
	l, err := (link.TCP{}).Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	caller.(*net.TCPConn).SetReadBuffer(4 << 10)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conns := &callerConns{Clock: &clock.Service{}, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Max: 1, WritePause: writePause, Headers: &memory.Budget{}}
	host := conns.admit(accepted)
	t.Cleanup(func() { host.Close() })
	return host, caller
}

// TestSlowReaderOverTCP checks that a caller that takes a little at a time is not
// disconnected. Its kernel acknowledges nothing while it has 64 KiB to hand over, here for
// 3 s.
func TestSlowReaderOverTCP(t *testing.T) {
	const size, writePause, slowTime = 32 << 20, 5 * time.Second, 13 * time.Second
	host, caller := tcpPair(t, writePause)
	result := make(chan error, 1)
	go func() {
		_, err := host.Write(make([]byte, size))
		result <- err
	}()
	buf := make([]byte, 1<<10)
	for start := time.Now(); time.Since(start) < slowTime; time.Sleep(50 * time.Millisecond) {
		if _, err := caller.Read(buf); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-result:
			t.Fatalf("writing ended after %v: %v", time.Since(start), err)
		default:
		}
	}
}

// TestUnreadOverTCP checks that writing to a caller that takes nothing ends.
func TestUnreadOverTCP(t *testing.T) {
	host, _ := tcpPair(t, time.Second)
	if _, err := host.Write(make([]byte, 32<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want a passed deadline", err)
	}
}

// TestUnsentBytes checks that the progress of a caller shows in the kernel's queue while
// the kernel accepts no byte.
func TestUnsentBytes(t *testing.T) {
	host, caller := tcpPair(t, time.Second)
	if _, err := host.Write(make([]byte, 32<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("error %v, want a passed deadline", err)
	}
	inner := host.(*callerConn).Conn
	before := unsentBytes(inner)
	if before <= 0 {
		t.Fatalf("%d bytes are unsent", before)
	}
	buf := make([]byte, 4<<10)
	for unsentBytes(inner) >= before {
		if _, err := caller.Read(buf); err != nil {
			t.Fatalf("the caller has read all, and %d bytes of %d are unsent: %v", unsentBytes(inner), before, err)
		}
	}
	host.Close()
	if got := unsentBytes(inner); got != -1 {
		t.Errorf("%d bytes are unsent on a closed connection", got)
	}
}

// TestCompleteBodyKeepsItsMemory checks that another body is ended if the first one was
// complete when it was to be ended: its request then holds the memory to its end, and a
// budget that expected it back would end no other body.
func TestCompleteBodyKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &memory.Budget{Bytes: 100}
		conns := &callerConns{Clock: &clock.Service{}}
		receive := func() (*callerConn, *memory.Allowance) {
			end, other := net.Pipe()
			t.Cleanup(func() { end.Close(); other.Close() })
			a := budget.NewAllowance()
			a.Take(50)
			return &callerConn{Conn: end, conns: conns, state: receivesBody, part: largeBody, bodyMemory: a}, a
		}
		complete, _ := receive()
		incomplete, held := receive()
		budget.Relieve = func() *memory.Allowance {
			if a := complete.evictBody(); a != nil {
				time.AfterFunc(10*time.Millisecond, func() { complete.endBody(true) })
				return a
			}
			a := incomplete.evictBody()
			if a != nil {
				time.AfterFunc(10*time.Millisecond, held.Release)
			}
			return a
		}
		if !budget.NewAllowance().Take(50) {
			t.Error("no memory, and the incomplete body was not ended")
		}
	})
}
