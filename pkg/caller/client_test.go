package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cockroachdb/datadriven"
)

// TestClient runs testdata/client. The commands are call and stream, with or
// without the argument key. The input has one line per host with its replies in
// order: the name of a result code, refuse (no listener), break (the connection
// ends without an answer), half (the connection ends after one piece) or foreign
// (an answer of another server). The last reply is repeated. The output is the
// outcome and the hosts that were tried.
func TestClient(t *testing.T) {
	datadriven.RunTest(t, "testdata/client", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = runScript(t, d) })
		return out
	})
}

// fakeHost sends the scripted replies.
type fakeHost struct {
	name    string
	replies []string
	tried   *[]string
	mu      *sync.Mutex
}

func runScript(t *testing.T, d *datadriven.TestData) string {
	m := &link.Memory{Delay: time.Millisecond}
	transport := link.Transport(m.Process(netip.MustParseAddr("10.0.9.1")))
	c := &Client{HTTP: &http.Client{Transport: transport}, Workspace: "W"}
	var mu sync.Mutex
	var tried []string
	for i, line := range strings.Split(d.Input, "\n") {
		words := strings.Fields(line)
		h := &fakeHost{name: fmt.Sprintf("h%d", i+1), replies: words, tried: &tried, mu: &mu}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		c.Hosts = append(c.Hosts, addr)
		if words[0] == "refuse" {
			continue
		}
		l, err := m.Process(addr.Addr()).Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: h}
		go s.Serve(l)
		defer s.Close()
	}
	defer transport.CloseIdleConnections()
	r := &Request{Pipeline: "P", Input: Input(`{}`), Deadline: 3 * time.Second}
	if d.HasArg("key") {
		r.Key = "01890a5d-ac96-774b-bcce-b302099a8057"
	}
	var text strings.Builder
	var a *Answer
	var err error
	if d.Cmd == "stream" {
		a, err = c.Stream(t.Context(), r, func(data string) error { text.WriteString(data); return nil })
	} else {
		a, err = c.Call(t.Context(), r)
	}
	out := fmt.Sprintf("answer=%v error=%v text=%q\n", a != nil, err, text.String())
	return out + strings.Join(collapse(tried), " ") + "\n"
}

// collapse replaces consecutive tries of one host by its name with a plus, since
// the random pauses make their number vary.
func collapse(tried []string) []string {
	var out []string
	for _, name := range tried {
		if n := len(out); n > 0 && strings.TrimSuffix(out[n-1], "+") == name {
			out[n-1] = name + "+"
			continue
		}
		out = append(out, name)
	}
	return out
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	*h.tried = append(*h.tried, h.name)
	reply := h.replies[0]
	if len(h.replies) > 1 {
		h.replies = h.replies[1:]
	}
	h.mu.Unlock()
	switch reply {
	case "break":
		panic(http.ErrAbortHandler)
	case "half":
		w.Header().Set("Content-Type", StreamType)
		json.NewEncoder(w).Encode(&Event{Data: "one "})
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "foreign":
		http.Error(w, "bad gateway", http.StatusBadGateway)
	default:
		h.answer(w, r, reply)
	}
}

func (h *fakeHost) answer(w http.ResponseWriter, r *http.Request, name string) {
	for _, row := range result.Table {
		if row.Name != name {
			continue
		}
		a := &Answer{Code: row.Code, Name: row.Name, Ran: row.Ran, Output: "one two"}
		if r.Header.Get("Accept") != StreamType {
			json.NewEncoder(w).Encode(a)
			return
		}
		w.Header().Set("Content-Type", StreamType)
		enc := json.NewEncoder(w)
		enc.Encode(&Event{Data: "one "})
		enc.Encode(&Event{Seq: 1, Data: "two"})
		enc.Encode(&Event{Seq: 2, Answer: a})
		return
	}
	panic("no code " + name)
}
