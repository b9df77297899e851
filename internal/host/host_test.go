package host

import (
	"bytes"
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
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// serve runs an HTTP server on the network until ctx ends.
func serve(ctx context.Context, t *testing.T, m *link.Memory, addr netip.AddrPort, h http.Handler) {
	t.Helper()
	l, err := m.Process(addr.Addr()).Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	context.AfterFunc(ctx, func() { s.Close() })
}

// TestRequestThroughStages sends a request with two stages through a host, in
// virtual time.
func TestRequestThroughStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &link.Memory{Delay: time.Millisecond}
		logAddr := netip.MustParseAddrPort("10.0.1.1:80")
		targetAddr := netip.MustParseAddrPort("10.0.2.1:80")
		serve(ctx, t, m, logAddr, &standin.Log{})
		serve(ctx, t, m, targetAddr, &standin.Worker{Name: "w1", Speed: 2, Slots: 1})
		text, err := json.Marshal(declaration.Section{
			Workspaces: []declaration.Workspace{{Name: "W"}},
			Pools:      []declaration.Pool{{Name: "P"}},
			Targets:    []declaration.Target{{Name: "w1", Pool: "P", Addr: targetAddr, Slots: 1}},
			Pipelines: []declaration.Pipeline{{Name: "L", Deadline: declaration.Duration(time.Second),
				Stages: []declaration.Stage{{Name: "a", Pool: "P"}, {Name: "b", Pool: "P"}}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(declaration.Change{Section: "S", Text: text})
		if err != nil {
			t.Fatal(err)
		}
		operator := platform.NewClient(m.Process(netip.MustParseAddr("10.0.3.1")), logAddr, logAddr)
		if _, err := operator.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}}); err != nil {
			t.Fatal(err)
		}
		s := &settings.Settings{Name: "h1", CallerAddr: netip.MustParseAddrPort("10.0.0.1:80"), PeerAddr: netip.MustParseAddrPort("10.0.0.1:81"), LogAddr: logAddr}
		s.SetDefaults()
		h, err := New(s, m.Process(s.CallerAddr.Addr()), &clock.Service{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		time.Sleep(time.Second)
		transport := link.Transport(m.Process(netip.MustParseAddr("10.0.4.1")))
		client := &http.Client{Transport: transport}
		resp, err := client.Post("http://10.0.0.1:80/v1/workspaces/W/pipelines/L", "application/json", bytes.NewReader([]byte(`{"Text":"x","Service":20000000}`)))
		if err != nil {
			t.Fatal(err)
		}
		var a caller.Answer
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if diff := cmp.Diff("w1(a: x) w1(b: x)", a.Output); diff != "" {
			t.Errorf("output (-want +got):\n%s", diff)
		}
		if a.Took < 20*time.Millisecond {
			t.Errorf("two stages of 10 ms took %v", a.Took)
		}
		cancel()
		transport.CloseIdleConnections()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
