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

// issueCertificate writes a certificate for the addresses of all hosts and the
// log.
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

// tlsCluster is a cluster of two hosts that use TLS for the links to each other
// and to the log.
type tlsCluster struct {
	t     *testing.T
	net   link.Memory
	files *settings.TLS
	// peerConns is the setting MaxPeerConns of the hosts.
	peerConns int
	client    *http.Client
	stops     []func()
}

func newTLSCluster(t *testing.T, files *settings.TLS, peerConns int) *tlsCluster {
	c := &tlsCluster{t: t, net: link.Memory{Delay: time.Millisecond}, files: files, peerConns: peerConns}
	c.serve(withTLS(files, c.net.Process(tlsLogAddr.Addr())), tlsLogAddr, &standin.Log{})
	c.serve(c.net.Process(tlsTargetAddr.Addr()), tlsTargetAddr, &standin.Worker{Name: "w1", Speed: 1, Slots: 1})
	c.client = &http.Client{Transport: link.Transport(c.net.Process(callerAddr))}
	c.publish()
	for i := range tlsHostAddrs {
		c.startHost(i)
	}
	time.Sleep(3 * time.Second)
	return c
}

func (c *tlsCluster) serve(n link.Network, addr netip.AddrPort, h http.Handler) {
	server := &standin.Server{Net: n, Addr: addr, Handler: h}
	if err := server.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.stops = append(c.stops, server.Stop)
}

func (c *tlsCluster) publish() {
	text := `{"Workspaces": [{"Name": "W"}], "Pools": [{"Name": "P"}],
		"Targets": [{"Name": "w1", "Pool": "P", "Addr": "10.0.2.1:80", "Domain": "A", "Slots": 1}],
		"Pipelines": [{"Name": "L", "Deadline": "1s", "Stages": [{"Name": "a", "Pool": "P"}]}]}`
	data, err := json.Marshal(declaration.Change{Section: "S", Text: declaration.Text(text)})
	if err != nil {
		c.t.Fatal(err)
	}
	operator := platform.NewClient(withTLS(c.files, c.net.Process(operatorAddr)), tlsLogAddr, tlsLogAddr)
	defer operator.HTTP.CloseIdleConnections()
	if _, err := operator.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *tlsCluster) startHost(i int) {
	addr, other := tlsHostAddrs[i], tlsHostAddrs[1-i]
	set := &settings.Settings{
		Name: addr.String(), CallerAddr: netip.AddrPortFrom(addr, 80), PeerAddr: netip.AddrPortFrom(addr, 81), LogAddr: tlsLogAddr,
		Peers: []settings.Peer{{Name: other.String(), Addr: netip.AddrPortFrom(other, 81)}}, PeerTLS: c.files, PlatformTLS: c.files, MaxPeerConns: c.peerConns,
	}
	set.SetDefaults()
	h, err := New(set, c.net.Process(addr), &clock.Service{}, zap.NewNop())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	c.stops = append(c.stops, func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	})
}

func (c *tlsCluster) close() {
	c.client.CloseIdleConnections()
	for i := len(c.stops) - 1; i >= 0; i-- {
		c.stops[i]()
	}
	time.Sleep(time.Minute)
}

// call returns the result of a request and the host's readiness status.
func (c *tlsCluster) call(i int) string {
	base := "http://" + netip.AddrPortFrom(tlsHostAddrs[i], 80).String() + "/v1"
	resp, err := c.client.Post(base+"/workspaces/W/pipelines/L", "application/json", bytes.NewReader([]byte(`{"Text":"x"}`)))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var a caller.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		c.t.Fatal(err)
	}
	ready, err := c.client.Get(base + "/ready")
	if err != nil {
		c.t.Fatal(err)
	}
	ready.Body.Close()
	return a.Name + " " + a.Ran.String() + " " + ready.Status
}

// cut cuts or heals the link between from, the log or the other host, and host 1.
func (c *tlsCluster) cut(from netip.Addr, cut bool) {
	set := c.net.Heal
	if cut {
		set = c.net.Cut
	}
	set(from, tlsHostAddrs[1])
	set(tlsHostAddrs[1], from)
}

// TestStaleHost checks, over TLS, that a log outage alone stops no work, that a
// host without contact with the log or peers refuses work as not run, and that it
// recovers.
func TestStaleHost(t *testing.T) {
	files := issueCertificate(t, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		c := newTLSCluster(t, files, 0)
		defer c.close()
		got := []string{c.call(0), c.call(1)}
		c.cut(tlsLogAddr.Addr(), true)
		time.Sleep(time.Minute)
		got = append(got, c.call(1))
		c.cut(tlsHostAddrs[0], true)
		time.Sleep(10 * time.Second)
		got = append(got, c.call(0), c.call(1))
		c.cut(tlsLogAddr.Addr(), false)
		c.cut(tlsHostAddrs[0], false)
		time.Sleep(5 * time.Second)
		got = append(got, c.call(1))
		ok, stale := "OK Yes 200 OK", "ConfigStale No 503 Service Unavailable"
		if diff := cmp.Diff([]string{ok, ok, ok, ok, stale, ok}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}
