package peer

import (
	"context"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// pushReceiver is a peer that accepts every push.
type pushReceiver struct{}

func (*pushReceiver) Push(Push, *PushReply) error { return nil }

// TestCallToFullConnectionEnds calls a peer over a cut link until the connection
// accepts no more bytes. Calls must still end in time, and succeed again once
// the link is healed.
func TestCallToFullConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: time.Millisecond}
		near, far := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddrPort("10.0.0.2:81")
		s := &Server{RPC: rpc.NewServer()}
		if err := s.RPC.RegisterName(rpcName, &pushReceiver{}); err != nil {
			t.Fatal(err)
		}
		l, err := m.Process(far.Addr()).Listen(far)
		if err != nil {
			t.Fatal(err)
		}
		go s.Serve(l)
		c := &Caller{Net: m.Process(near)}
		call := func(size int) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return c.Call(ctx, far, pushMethod, Push{Notes: []Note{{Data: make([]byte, size)}}}, &PushReply{})
		}
		if err := call(1); err != nil {
			t.Fatal(err)
		}
		m.Cut(near, far.Addr())
		start := time.Now()
		for range 4 {
			if err := call(200 << 10); err == nil {
				t.Error("a call over a cut link succeeded")
			}
		}
		if took := time.Since(start); took > 4*(dialTimeout+writeTimeout) {
			t.Errorf("four calls over a full connection took %v", took)
		}
		m.Heal(near, far.Addr())
		if err := call(1); err != nil {
			t.Errorf("after the heal: %v", err)
		}
		c.Close()
		l.Close()
		s.Close()
	})
}
