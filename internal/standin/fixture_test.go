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

// fixture is an in-memory network with one stand-in at addr and one client.
type fixture struct {
	t      *testing.T
	addr   netip.AddrPort
	server *Server
	client *http.Client
}

// newFixture serves h. Server and connections are closed when the test ends.
func newFixture(t *testing.T, h http.Handler) *fixture {
	t.Helper()
	m := &link.Memory{Delay: time.Millisecond}
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	f := &fixture{t: t, addr: addr, server: &Server{Net: m.Process(addr.Addr()), Addr: addr, Handler: h}}
	if err := f.server.Start(); err != nil {
		t.Fatal(err)
	}
	transport := link.Transport(m.Process(netip.MustParseAddr("10.0.0.2")))
	f.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		f.server.Stop()
		transport.CloseIdleConnections()
	})
	return f
}

// call sends v as JSON and returns the status and body of the response.
func (f *fixture) call(ctx context.Context, method, path string, v any) (int, []byte, error) {
	f.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// run executes an attempt and returns the pieces of its answer.
func (f *fixture) run(run contract.Run, work contract.Work) ([]contract.Piece, error) {
	f.t.Helper()
	input, err := json.Marshal(work)
	if err != nil {
		f.t.Fatal(err)
	}
	run.Input = input
	_, body, err := f.call(f.t.Context(), http.MethodPost, contract.RunPath, run)
	var pieces []contract.Piece
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var p contract.Piece
		if json.Unmarshal(lines.Bytes(), &p) != nil {
			return pieces, fmt.Errorf("line is not a piece: %q", lines.Text())
		}
		pieces = append(pieces, p)
	}
	return pieces, err
}

// get decodes the JSON response at path into v.
func (f *fixture) get(path string, v any) {
	f.t.Helper()
	_, body, err := f.call(f.t.Context(), http.MethodGet, path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := json.Unmarshal(body, v); err != nil {
		f.t.Fatalf("%s: %v in %q", path, err, body)
	}
}
