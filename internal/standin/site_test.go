package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
)

// site is a network with one stand-in at addr and one caller.
type fixture struct {
	t      *testing.T
	addr   netip.AddrPort
	server *Server
	client *http.Client
}

// newSite serves h; the caller's connections end with the test.
func newFixture(t *testing.T, h http.Handler) *fixture {
	t.Helper()
	m := &link.Memory{Delay: time.Millisecond}
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	s := &fixture{t: t, addr: addr, server: &Server{Net: m.Process(addr.Addr()), Addr: addr, Handler: h}}
	if err := s.server.Start(); err != nil {
		t.Fatal(err)
	}
	transport := link.Transport(m.Process(netip.MustParseAddr("10.0.0.2")))
	s.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		s.server.Stop()
		transport.CloseIdleConnections()
	})
	return s
}

// call posts v and returns the status and body.
func (s *fixture) call(ctx context.Context, method, path string, v any) (int, []byte, error) {
	s.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// run runs an attempt and returns its pieces.
func (s *fixture) run(run contract.Run, work contract.Work) ([]contract.Piece, error) {
	s.t.Helper()
	input, err := json.Marshal(work)
	if err != nil {
		s.t.Fatal(err)
	}
	run.Input = input
	_, body, err := s.call(s.t.Context(), http.MethodPost, contract.RunPath, run)
	var pieces []contract.Piece
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var p contract.Piece
		if json.Unmarshal(lines.Bytes(), &p) != nil {
			return pieces, fmt.Errorf("a line is no piece: %q", lines.Text())
		}
		pieces = append(pieces, p)
	}
	return pieces, err
}

// get reads a JSON answer into v.
func (s *fixture) get(path string, v any) {
	s.t.Helper()
	_, body, err := s.call(s.t.Context(), http.MethodGet, path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := json.Unmarshal(body, v); err != nil {
		s.t.Fatalf("%s: %v in %q", path, err, body)
	}
}
