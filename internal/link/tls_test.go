package link_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/standin"
	"github.com/google/go-cmp/cmp"
)

// files holds the PEM files of a server and a client under one authority.
type files struct {
	t *testing.T
	*standin.Authority
}

// newFiles issues certificates for the server, for a server at another address
// and for the client.
func newFiles(t *testing.T) files {
	a, err := standin.NewAuthority(t.TempDir())
	f := files{t, a}
	f.check(err)
	for name, ip := range map[string]string{"server": serverIP, "elsewhere": "10.0.0.9", "client": clientIP} {
		_, _, err := a.Issue(name, netip.MustParseAddr(ip))
		f.check(err)
	}
	return f
}

func (f files) check(err error) {
	if err != nil {
		f.t.Fatal(err)
	}
}

// network returns the TLS network of a process whose files start with name.
func (f files) network(m *link.Memory, ip, name string) *link.TLS {
	path := func(file string) string { return filepath.Join(f.Dir, file) }
	return &link.TLS{
		Network:  m.Process(netip.MustParseAddr(ip)),
		CertFile: path(name + ".pem"), KeyFile: path(name + ".key"), CAFile: f.CAFile(),
	}
}

const serverIP, clientIP = "10.0.0.1", "10.0.0.2"

// get sends a request over n and returns the body of the response, or "refused".
func get(n link.Network) string {
	transport := link.Transport(n)
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

// TestTLS checks that a connection needs certificates of one authority on both
// sides, and a server certificate for the address that is dialled.
func TestTLS(t *testing.T) {
	ours, others := newFiles(t), newFiles(t)
	plain := func(m *link.Memory) link.Network { return m.Process(netip.MustParseAddr(clientIP)) }
	with := func(a files) func(m *link.Memory) link.Network {
		return func(m *link.Memory) link.Network { return a.network(m, clientIP, "client") }
	}
	// The stranger trusts the server's authority, but its certificate is from the
	// other one.
	stranger := func(m *link.Memory) link.Network {
		n := others.network(m, clientIP, "client")
		n.CAFile = ours.CAFile()
		return n
	}
	got := map[string]string{}
	for name, c := range map[string]struct {
		client func(m *link.Memory) link.Network
		server func(m *link.Memory) link.Network
	}{
		"ours":          {with(ours), func(m *link.Memory) link.Network { return ours.network(m, serverIP, "server") }},
		"other client":  {with(others), func(m *link.Memory) link.Network { return ours.network(m, serverIP, "server") }},
		"stranger":      {stranger, func(m *link.Memory) link.Network { return ours.network(m, serverIP, "server") }},
		"other server":  {with(ours), func(m *link.Memory) link.Network { return others.network(m, serverIP, "server") }},
		"wrong address": {with(ours), func(m *link.Memory) link.Network { return ours.network(m, serverIP, "elsewhere") }},
		"plain client":  {plain, func(m *link.Memory) link.Network { return ours.network(m, serverIP, "server") }},
		"plain server":  {with(ours), func(m *link.Memory) link.Network { return m.Process(netip.MustParseAddr(serverIP)) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := &link.Memory{Delay: time.Millisecond}
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

func serveHello(t *testing.T, n link.Network) (stop func()) {
	l, err := n.Listen(netip.MustParseAddrPort(serverIP + ":80"))
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") })}
	go s.Serve(l)
	return func() {
		s.Close()
		time.Sleep(time.Minute) // pending handshakes time out
	}
}

// TestTLSReload replaces the authority and the certificates under a running
// server.
func TestTLSReload(t *testing.T) {
	old := newFiles(t)
	next := newFiles(t)
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: time.Millisecond}
		stop := serveHello(t, old.network(m, serverIP, "server"))
		defer stop()
		got := []string{get(old.network(m, clientIP, "client")), get(next.network(m, clientIP, "client"))}
		for _, file := range []string{"ca.pem", "server.pem", "server.key"} {
			text, err := os.ReadFile(filepath.Join(next.Dir, file))
			next.check(err)
			next.check(os.WriteFile(filepath.Join(old.Dir, file), text, 0o600))
			later := time.Unix(1<<31, 0) // file systems may round modification times
			next.check(os.Chtimes(filepath.Join(old.Dir, file), later, later))
		}
		time.Sleep(2 * time.Second)
		got = append(got, get(next.network(m, clientIP, "client")))
		next.check(os.WriteFile(filepath.Join(old.Dir, "server.pem"), []byte("garbled"), 0o600))
		time.Sleep(2 * time.Second)
		got = append(got, get(next.network(m, clientIP, "client")))
		if diff := cmp.Diff([]string{"hello", "refused", "hello", "hello"}, got); diff != "" {
			t.Errorf("old client before, new client before, after the reload, after corruption (-want +got):\n%s", diff)
		}
	})
}

// TestTLSSilentPeer checks that a peer that never starts its handshake does not
// delay others and is disconnected.
func TestTLSSilentPeer(t *testing.T) {
	a := newFiles(t)
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: time.Millisecond}
		stop := serveHello(t, a.network(m, serverIP, "server"))
		defer stop()
		silent, err := m.Process(netip.MustParseAddr(clientIP)).Dial(context.Background(), netip.MustParseAddrPort(serverIP+":80"))
		a.check(err)
		if got := get(a.network(m, clientIP, "client")); got != "hello" {
			t.Errorf("while a silent peer is connected: %s", got)
		}
		start := time.Now()
		io.ReadAll(silent)
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("the silent peer stayed connected for %v", took)
		}
	})
}
