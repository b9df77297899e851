package host

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// TestReadyWaitsForTargets checks that a host that has its configuration but no
// report on its targets yet is not ready: it would refuse all work.
func TestReadyWaitsForTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &link.Memory{}
		list := &standin.HostList{}
		list.SetFaults(standin.HostListFaults{Slow: 500 * time.Millisecond})
		s := &settings.Settings{Name: "h1",
			CallerAddr: netip.MustParseAddrPort("10.0.0.1:80"), PeerAddr: netip.MustParseAddrPort("10.0.0.1:81"),
			LogAddr: netip.MustParseAddrPort("10.0.1.1:80"), HostListAddr: netip.MustParseAddrPort("10.0.1.2:80")}
		s.SetDefaults()
		serve(ctx, t, m, s.LogAddr, &standin.Log{})
		serve(ctx, t, m, s.HostListAddr, list)
		data, err := json.Marshal(declaration.Change{Section: "S", Text: []byte("{}")})
		if err != nil {
			t.Fatal(err)
		}
		operator := platform.NewClient(m.Process(netip.MustParseAddr("10.0.3.1")), s.LogAddr, s.LogAddr)
		if _, err := operator.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}}); err != nil {
			t.Fatal(err)
		}
		h, err := New(s, m.Process(s.CallerAddr.Addr()), &clock.Service{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		transport := link.Transport(m.Process(netip.MustParseAddr("10.0.4.1")))
		var got []int
		for range 2 {
			time.Sleep(300 * time.Millisecond)
			resp, err := (&http.Client{Transport: transport}).Get("http://10.0.0.1:80/v1/ready")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			got = append(got, resp.StatusCode)
		}
		if diff := cmp.Diff([]int{http.StatusServiceUnavailable, http.StatusOK}, got); diff != "" {
			t.Errorf("status of /ready after 300 and 600 ms, with the host list after 500 ms (-want +got):\n%s", diff)
		}
		transport.CloseIdleConnections()
		operator.HTTP.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
