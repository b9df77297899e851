package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/declaration"
	"go.uber.org/zap"
)

// BenchmarkPlain sends safe requests sequentially, directly to a target and
// through a host, over loopback TCP. The difference of the two is the overhead of
// a host, including its caller's and its target's share of the processor.
func BenchmarkPlain(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "t")
		io.WriteString(w, strings.Repeat("x", 800))
	}))
	defer target.Close()
	addr := netip.MustParseAddrPort(target.Listener.Addr().String())
	feed := &testFeed{
		table:   &catalog.Table{Version: 1, Routes: route(catalog.Safe, nil), Services: map[string]*catalog.Service{"s": {Name: "s"}}},
		targets: []catalog.TargetChange{{ID: "t", Target: &catalog.Target{ID: "t", Service: "s", Addr: addr, Slots: 8}}},
	}
	s := &settings.Gateway{
		CallerAddr: unusedAddr(b), ReadyAddr: unusedAddr(b), PeerAddr: unusedAddr(b), MetricsPort: int(unusedAddr(b).Port()),
		GracePeriod: declaration.Duration(2 * time.Second), RepeatWindow: declaration.Duration(10 * time.Second),
	}
	c := &clock.Service{}
	h, err := New(s, link.TCP{}, c, zap.NewNop(), &upstream.Client{Net: link.TCP{}, Clock: c}, testFormat{}, feed, &testPool{}, noDirectory{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	for !h.ready() {
		time.Sleep(time.Millisecond)
	}
	b.Run("straight", func(b *testing.B) { benchmarkRequests(b, addr.String()) })
	b.Run("host", func(b *testing.B) { benchmarkRequests(b, s.CallerAddr.String()) })
	cancel()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

// unusedAddr returns a loopback address without a listener.
func unusedAddr(b *testing.B) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func benchmarkRequests(b *testing.B, addr string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/a/b", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Id", "r")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, err)
		}
		resp.Body.Close()
	}
}
