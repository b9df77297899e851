package link

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// authority issues certificates for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  ed25519.PrivateKey
	last int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue("ca.pem", "ca.key", nil)
	return a
}

// issue writes a certificate for ip, or one of an authority without ip.
func (a *authority) issue(certFile, keyFile string, ip net.IP) (*x509.Certificate, ed25519.PrivateKey) {
	a.last++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.last),
		Subject:      pkix.Name{CommonName: certFile},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
	if ip == nil {
		template.IsCA, template.BasicConstraintsValid = true, true
	} else {
		template.IPAddresses = []net.IP{ip}
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	a.check(err)
	parent, signer := a.cert, a.key
	if ip == nil {
		parent, signer = template, private
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	a.check(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	a.check(err)
	a.write(certFile, "CERTIFICATE", der)
	a.write(keyFile, "PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	a.check(err)
	return cert, private
}

func (a *authority) write(file, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.check(os.WriteFile(filepath.Join(a.dir, file), text, 0o600))
}

func (a *authority) check(err error) {
	if err != nil {
		a.t.Fatal(err)
	}
}

// network returns the TLS network of a process whose files start with name.
func (a *authority) network(m *Memory, ip, name string) *TLS {
	path := func(file string) string { return filepath.Join(a.dir, file) }
	return &TLS{
		Network:  m.Process(netip.MustParseAddr(ip)),
		CertFile: path(name + ".pem"), KeyFile: path(name + ".key"), CAFile: path("ca.pem"),
	}
}

const serverIP, clientIP = "10.0.0.1", "10.0.0.2"

// get sends a request from a network and returns what came back, or "refused".
func get(n Network) string {
	transport := Transport(n)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	resp, err := client.Get("http://" + serverIP + ":80/")
	if err != nil {
		return "refused"
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// TestTLS holds that only processes with a certificate of the authority, made
// out for the address that is dialled, talk to each other.
func TestTLS(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	ours.issue("server.pem", "server.key", net.ParseIP(serverIP))
	ours.issue("elsewhere.pem", "elsewhere.key", net.ParseIP("10.0.0.9"))
	ours.issue("client.pem", "client.key", net.ParseIP(clientIP))
	others.issue("server.pem", "server.key", net.ParseIP(serverIP))
	others.issue("client.pem", "client.key", net.ParseIP(clientIP))
	plain := func(m *Memory) Network { return m.Process(netip.MustParseAddr(clientIP)) }
	with := func(a *authority) func(m *Memory) Network {
		return func(m *Memory) Network { return a.network(m, clientIP, "client") }
	}
	stranger := func(m *Memory) Network {
		n := others.network(m, clientIP, "client")
		n.CAFile = filepath.Join(ours.dir, "ca.pem")
		return n
	}
	got := map[string]string{}
	for name, c := range map[string]struct {
		client func(m *Memory) Network
		server func(m *Memory) Network
	}{
		"ours":          {with(ours), func(m *Memory) Network { return ours.network(m, serverIP, "server") }},
		"other client":  {with(others), func(m *Memory) Network { return ours.network(m, serverIP, "server") }},
		"stranger":      {stranger, func(m *Memory) Network { return ours.network(m, serverIP, "server") }},
		"other server":  {with(ours), func(m *Memory) Network { return others.network(m, serverIP, "server") }},
		"wrong address": {with(ours), func(m *Memory) Network { return ours.network(m, serverIP, "elsewhere") }},
		"plain client":  {plain, func(m *Memory) Network { return ours.network(m, serverIP, "server") }},
		"plain server":  {with(ours), func(m *Memory) Network { return m.Process(netip.MustParseAddr(serverIP)) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := &Memory{Delay: time.Millisecond}
			stop := serveHello(t, c.server(m))
			got[name] = get(c.client(m))
			stop()
		})
	}
	want := map[string]string{
		"ours": "hello", "other client": "refused", "stranger": "refused", "other server": "refused",
		"wrong address": "refused", "plain client": "refused", "plain server": "refused",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

func serveHello(t *testing.T, n Network) (stop func()) {
	l, err := n.Listen(netip.MustParseAddrPort(serverIP + ":80"))
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") })}
	go s.Serve(l)
	return func() {
		s.Close()
		time.Sleep(time.Minute) // handshakes that wait end
	}
}

// TestTLSReload replaces the authority and the certificates under a running
// server.
func TestTLSReload(t *testing.T) {
	old := newAuthority(t)
	old.issue("server.pem", "server.key", net.ParseIP(serverIP))
	old.issue("client.pem", "client.key", net.ParseIP(clientIP))
	next := newAuthority(t)
	next.issue("server.pem", "server.key", net.ParseIP(serverIP))
	next.issue("client.pem", "client.key", net.ParseIP(clientIP))
	synctest.Test(t, func(t *testing.T) {
		m := &Memory{Delay: time.Millisecond}
		stop := serveHello(t, old.network(m, serverIP, "server"))
		defer stop()
		got := []string{get(old.network(m, clientIP, "client")), get(next.network(m, clientIP, "client"))}
		for _, file := range []string{"ca.pem", "server.pem", "server.key"} {
			text, err := os.ReadFile(filepath.Join(next.dir, file))
			next.check(err)
			next.check(os.WriteFile(filepath.Join(old.dir, file), text, 0o600))
			later := time.Unix(1<<31, 0) // file systems may round times
			next.check(os.Chtimes(filepath.Join(old.dir, file), later, later))
		}
		time.Sleep(2 * reloadPeriod)
		got = append(got, get(next.network(m, clientIP, "client")))
		next.check(os.WriteFile(filepath.Join(old.dir, "server.pem"), []byte("garbled"), 0o600))
		time.Sleep(2 * reloadPeriod)
		got = append(got, get(next.network(m, clientIP, "client")))
		if diff := cmp.Diff([]string{"hello", "refused", "hello", "hello"}, got); diff != "" {
			t.Errorf("before, before, after, after garbling (-want +got):\n%s", diff)
		}
	})
}

// TestTLSSilentPeer holds that a peer which never shakes hands holds up no
// other and is dropped.
func TestTLSSilentPeer(t *testing.T) {
	a := newAuthority(t)
	a.issue("server.pem", "server.key", net.ParseIP(serverIP))
	a.issue("client.pem", "client.key", net.ParseIP(clientIP))
	synctest.Test(t, func(t *testing.T) {
		m := &Memory{Delay: time.Millisecond}
		stop := serveHello(t, a.network(m, serverIP, "server"))
		defer stop()
		silent, err := m.Process(netip.MustParseAddr(clientIP)).Dial(context.Background(), netip.MustParseAddrPort(serverIP+":80"))
		a.check(err)
		if got := get(a.network(m, clientIP, "client")); got != "hello" {
			t.Errorf("beside a silent peer: %s", got)
		}
		start := time.Now()
		io.ReadAll(silent)
		if took := time.Since(start); took > handshakeTimeout {
			t.Errorf("the silent peer was held for %v", took)
		}
	})
}
