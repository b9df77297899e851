package host

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"go.uber.org/zap"
)

// slowService is an RPC service with a slow method.
type slowService struct{}

// Work takes five seconds.
func (slowService) Work(_ *int, reply *string) error {
	time.Sleep(5 * time.Second)
	*reply = "whole"
	return nil
}

// TestDrainWaitsForPeers stops a host while it serves a peer's call: the call
// succeeds although the host has no request of its own in flight.
func TestDrainWaitsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		m := &link.Memory{Delay: time.Millisecond}
		logAddr := netip.MustParseAddrPort("10.0.1.1:80")
		logCtx, stopLog := context.WithCancel(t.Context())
		serve(logCtx, t, m, logAddr, &standin.Log{})
		s := &settings.Settings{Name: "h1", CallerAddr: netip.MustParseAddrPort("10.0.0.1:80"), PeerAddr: netip.MustParseAddrPort("10.0.0.1:81"), LogAddr: logAddr}
		s.SetDefaults()
		h, err := New(s, m.Process(s.CallerAddr.Addr()), &clock.Service{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if err := h.PeerServer.RPC.RegisterName("Slow", slowService{}); err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		time.Sleep(time.Second)
		caller := &peer.Caller{Net: m.Process(netip.MustParseAddr("10.0.0.2"))}
		time.AfterFunc(time.Second, stop)
		var reply string
		if err := caller.Call(t.Context(), s.PeerAddr, "Slow.Work", new(int), &reply); err != nil || reply != "whole" {
			t.Errorf("the call in progress when the host stopped returned %q, %v", reply, err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		caller.Close()
		stopLog()
		time.Sleep(time.Second)
	})
}
