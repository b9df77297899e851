package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
)

// countingNetwork counts dialled connections.
type countingNetwork struct {
	link.Network
	dials atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.dials.Add(1)
	return n.Network.Dial(ctx, addr)
}

// flushing answers with one piece and flushes it before the response body ends,
// as engines do that flush each piece.
func flushing(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(contract.Piece{AttemptID: "a", Data: "x", End: true})
	http.NewResponseController(w).Flush()
	time.Sleep(time.Millisecond)
}

// TestStreamedAnswersKeepTheirConnection checks that consecutive attempts reuse
// one connection although the end mark arrives before the end of the response
// body.
func TestStreamedAnswersKeepTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &link.Memory{Delay: time.Millisecond}
		addr := netip.MustParseAddrPort("10.0.0.2:80")
		server := &standin.Server{Net: m.Process(addr.Addr()), Addr: addr, Handler: http.HandlerFunc(flushing)}
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		defer server.Stop()
		n := &countingNetwork{Network: m.Process(netip.MustParseAddr("10.0.0.1"))}
		c := NewClient(n)
		defer c.Close()
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			err := c.Run(ctx, &Attempt{
				Target:  &declaration.Target{Name: "e1", Addr: addr},
				Run:     &contract.Run{AttemptID: "a", Input: []byte(`{}`)},
				OnPiece: func(contract.Piece) error { return nil },
			})
			cancel() // as the end of the request does
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if diff := cmp.Diff(int64(1), n.dials.Load()); diff != "" {
			t.Errorf("connections (-want +got):\n%s", diff)
		}
	})
}
