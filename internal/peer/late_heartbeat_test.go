package peer

import (
	"context"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// lateService replies to heartbeats after their timeout.
type lateService struct{}

func (lateService) Beat(_ Beat, reply *Beat) error {
	time.Sleep(2 * beatTimeout)
	reply.Name = "late"
	return nil
}

// TestLateHeartbeatIsNotRead checks, under the race detector, that a heartbeat
// reply is not read if it arrives after the timeout.
func TestLateHeartbeatIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: time.Millisecond}
		addr := netip.MustParseAddrPort("10.0.0.2:80")
		l, err := m.Process(addr.Addr()).Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		server := rpc.NewServer()
		if err := server.RegisterName(rpcName, lateService{}); err != nil {
			t.Fatal(err)
		}
		go server.Accept(l)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x := &Exchange{Clock: &clock.Service{}, Caller: &Caller{Net: m.Process(netip.MustParseAddr("10.0.0.1"))}, ctx: ctx}
		defer x.Caller.Close()
		beats := make(chan Beat, 1)
		go func() {
			beat, err := x.sendBeat(Host{Addr: addr}, Beat{})
			if err == nil {
				t.Error("a late heartbeat reply was accepted")
			}
			beats <- beat
		}()
		time.Sleep(3 * beatTimeout)
		<-beats
	})
}
