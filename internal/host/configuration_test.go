package host

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
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
	secureLog    = netip.MustParseAddrPort("10.0.1.1:80")
	secureTarget = netip.MustParseAddrPort("10.0.2.1:80")
	secureHosts  = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")}
	operatorAddr = netip.MustParseAddr("10.0.3.1")
	callerAddr   = netip.MustParseAddr("10.0.4.1")
)

// issue writes one certificate that is its own authority and made out for all
// the addresses, and its key.
func issue(t *testing.T, dir string) *settings.TLS {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IsCA: true, BasicConstraintsValid: true,
	}
	for _, ip := range append(secureHosts, secureLog.Addr()) {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	files := &settings.TLS{CertFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem"), CAFile: filepath.Join(dir, "c.pem")}
	for file, block := range map[string]*pem.Block{files.CertFile: {Type: "CERTIFICATE", Bytes: cert}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: key}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// secureSite is two hosts, whose links to each other and to the log are TLS.
type secureSite struct {
	t      *testing.T
	net    link.Memory
	files  *settings.TLS
	client *http.Client
	ends   []func()
}

func newSecureSite(t *testing.T, files *settings.TLS) *secureSite {
	s := &secureSite{t: t, net: link.Memory{Delay: time.Millisecond}, files: files}
	s.serve(secure(files, s.net.Process(secureLog.Addr())), secureLog, &standin.Log{})
	s.serve(s.net.Process(secureTarget.Addr()), secureTarget, &standin.Worker{Name: "w1", Speed: 1, Slots: 1})
	s.client = &http.Client{Transport: link.Transport(s.net.Process(callerAddr))}
	s.publish()
	for i := range secureHosts {
		s.host(i)
	}
	time.Sleep(3 * time.Second)
	return s
}

func (s *secureSite) serve(n link.Network, addr netip.AddrPort, h http.Handler) {
	server := &standin.Server{Net: n, Addr: addr, Handler: h}
	if err := server.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.ends = append(s.ends, server.Stop)
}

func (s *secureSite) publish() {
	text := `{"Workspaces": [{"Name": "W"}], "Pools": [{"Name": "P"}],
		"Targets": [{"Name": "w1", "Pool": "P", "Addr": "10.0.2.1:80", "Domain": "A", "Slots": 1}],
		"Pipelines": [{"Name": "L", "Deadline": "1s", "Stages": [{"Name": "a", "Pool": "P"}]}]}`
	data, err := json.Marshal(declaration.Change{Section: "S", Text: declaration.Text(text)})
	if err != nil {
		s.t.Fatal(err)
	}
	c := platform.NewClient(secure(s.files, s.net.Process(operatorAddr)), secureLog, secureLog)
	defer c.HTTP.CloseIdleConnections()
	if _, err := c.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *secureSite) host(i int) {
	addr, other := secureHosts[i], secureHosts[1-i]
	set := &settings.Settings{
		Name: addr.String(), CallerAddr: netip.AddrPortFrom(addr, 80), PeerAddr: netip.AddrPortFrom(addr, 81), LogAddr: secureLog,
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
	s.ends = append(s.ends, func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
}

func (s *secureSite) close() {
	s.client.CloseIdleConnections()
	for i := len(s.ends) - 1; i >= 0; i-- {
		s.ends[i]()
	}
	time.Sleep(time.Minute)
}

// call returns what came of a request, and what the host says of its readiness.
func (s *secureSite) call(i int) string {
	base := "http://" + netip.AddrPortFrom(secureHosts[i], 80).String() + "/v1"
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
func (s *secureSite) cut(from netip.Addr, cut bool) {
	set := s.net.Heal
	if cut {
		set = s.net.Cut
	}
	set(from, secureHosts[1])
	set(secureHosts[1], from)
}

// TestStaleHost holds that a log outage alone stops no work, that a host with
// contact to neither log nor peers refuses work honestly, and that it comes
// back; all over TLS.
func TestStaleHost(t *testing.T) {
	files := issue(t, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		s := newSecureSite(t, files)
		defer s.close()
		got := []string{s.call(0), s.call(1)}
		s.cut(secureLog.Addr(), true)
		time.Sleep(time.Minute)
		got = append(got, s.call(1))
		s.cut(secureHosts[0], true)
		time.Sleep(10 * time.Second)
		got = append(got, s.call(0), s.call(1))
		s.cut(secureLog.Addr(), false)
		s.cut(secureHosts[0], false)
		time.Sleep(5 * time.Second)
		got = append(got, s.call(1))
		ok, stale := "OK Yes 200 OK", "ConfigStale No 503 Service Unavailable"
		if diff := cmp.Diff([]string{ok, ok, ok, ok, stale, ok}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}
