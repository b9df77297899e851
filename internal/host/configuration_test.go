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

var (
	tlsLogAddr    = netip.MustParseAddrPort("10.0.1.1:80")
	tlsTargetAddr = netip.MustParseAddrPort("10.0.2.1:80")
	tlsHostAddrs  = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")}
	operatorAddr  = netip.MustParseAddr("10.0.3.1")
	callerAddr    = netip.MustParseAddr("10.0.4.1")
)

// issue writes one certificate that is made out for all the addresses.
func issueCertificate(t *testing.T, dir string) *settings.TLS {
	a, err := standin.NewAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := a.Issue("all", append(tlsHostAddrs, tlsLogAddr.Addr())...)
	if err != nil {
		t.Fatal(err)
	}
	return &settings.TLS{CertFile: cert, KeyFile: key, CAFile: a.CAFile()}
}

// secureSite is two hosts, whose links to each other and to the log are TLS.
type tlsCluster struct {
	t      *testing.T
	net    link.Memory
	files  *settings.TLS
	client *http.Client
	stops  []func()
}

func newTLSCluster(t *testing.T, files *settings.TLS) *tlsCluster {
	s := &tlsCluster{t: t, net: link.Memory{Delay: time.Millisecond}, files: files}
	s.serve(withTLS(files, s.net.Process(tlsLogAddr.Addr())), tlsLogAddr, &standin.Log{})
	s.serve(s.net.Process(tlsTargetAddr.Addr()), tlsTargetAddr, &standin.Worker{Name: "w1", Speed: 1, Slots: 1})
	s.client = &http.Client{Transport: link.Transport(s.net.Process(callerAddr))}
	s.publish()
	for i := range tlsHostAddrs {
		s.startHost(i)
	}
	time.Sleep(3 * time.Second)
	return s
}

func (s *tlsCluster) serve(n link.Network, addr netip.AddrPort, h http.Handler) {
	server := &standin.Server{Net: n, Addr: addr, Handler: h}
	if err := server.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.stops = append(s.stops, server.Stop)
}

func (s *tlsCluster) publish() {
	text := `{"Workspaces": [{"Name": "W"}], "Pools": [{"Name": "P"}],
		"Targets": [{"Name": "w1", "Pool": "P", "Addr": "10.0.2.1:80", "Domain": "A", "Slots": 1}],
		"Pipelines": [{"Name": "L", "Deadline": "1s", "Stages": [{"Name": "a", "Pool": "P"}]}]}`
	data, err := json.Marshal(declaration.Change{Section: "S", Text: declaration.Text(text)})
	if err != nil {
		s.t.Fatal(err)
	}
	c := platform.NewClient(withTLS(s.files, s.net.Process(operatorAddr)), tlsLogAddr, tlsLogAddr)
	defer c.HTTP.CloseIdleConnections()
	if _, err := c.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *tlsCluster) startHost(i int) {
	addr, other := tlsHostAddrs[i], tlsHostAddrs[1-i]
	set := &settings.Settings{
		Name: addr.String(), CallerAddr: netip.AddrPortFrom(addr, 80), PeerAddr: netip.AddrPortFrom(addr, 81), LogAddr: tlsLogAddr,
		Peers: []settings.Peer{{Name: other.String(), Addr: netip.AddrPortFrom(other, 81)}}, PeerTLS: s.files, PlatformTLS: s.files,
	}
	set.SetDefaults()
	h, err := New(set, s.net.Process(addr), &clock.Service{}, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	s.stops = append(s.stops, func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
}

func (s *tlsCluster) close() {
	s.client.CloseIdleConnections()
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	time.Sleep(time.Minute)
}

// call returns what came of a request, and what the host says of its readiness.
func (s *tlsCluster) call(i int) string {
	base := "http://" + netip.AddrPortFrom(tlsHostAddrs[i], 80).String() + "/v1"
	resp, err := s.client.Post(base+"/workspaces/W/pipelines/L", "application/json", bytes.NewReader([]byte(`{"Text":"x"}`)))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var a caller.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		s.t.Fatal(err)
	}
	ready, err := s.client.Get(base + "/ready")
	if err != nil {
		s.t.Fatal(err)
	}
	ready.Body.Close()
	return a.Name + " " + a.Ran.String() + " " + ready.Status
}

// cut cuts or heals host 1 from the log, or from the other host.
func (s *tlsCluster) cut(from netip.Addr, cut bool) {
	set := s.net.Heal
	if cut {
		set = s.net.Cut
	}
	set(from, tlsHostAddrs[1])
	set(tlsHostAddrs[1], from)
}

// TestStaleHost holds that a log outage alone stops no work, that a host with
// contact to neither log nor peers refuses work honestly, and that it comes
// back; all over TLS.
func TestStaleHost(t *testing.T) {
	files := issueCertificate(t, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		s := newTLSCluster(t, files)
		defer s.close()
		got := []string{s.call(0), s.call(1)}
		s.cut(tlsLogAddr.Addr(), true)
		time.Sleep(time.Minute)
		got = append(got, s.call(1))
		s.cut(tlsHostAddrs[0], true)
		time.Sleep(10 * time.Second)
		got = append(got, s.call(0), s.call(1))
		s.cut(tlsLogAddr.Addr(), false)
		s.cut(tlsHostAddrs[0], false)
		time.Sleep(5 * time.Second)
		got = append(got, s.call(1))
		ok, stale := "OK Yes 200 OK", "ConfigStale No 503 Service Unavailable"
		if diff := cmp.Diff([]string{ok, ok, ok, ok, stale, ok}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}
