package host

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCheckBody compares checkBody on malformed JSON with the standard library
// and findExcessNesting.
func TestCheckBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := []string{"[", "]", "{", "}", `"a"`, `"\"["`, ":", ",", "1", "true", "\n", strings.Repeat("[", maxNesting), strings.Repeat("]", maxNesting), "\\", `"`}
		body := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom(parts)).Draw(t, "parts"), ""))
		err := checkBody(body)
		if err == nil && !json.Valid(body) {
			t.Fatalf("accepted %q", body)
		}
		if err != nil && json.Valid(body) && findExcessNesting(body) < 0 {
			t.Fatalf("refused %q: %v", body, err)
		}
		var known *result.Error
		if err != nil && (!errors.As(err, &known) || known.Ran != result.RanNo || !strings.HasPrefix(known.Place, "body:")) {
			t.Fatalf("%q: error %v is not a RanNo error with a place in the body", body, err)
		}
	})
}

// TestSlowAndLargeBodies sends bodies that stall and bodies that are too large.
func TestSlowAndLargeBodies(t *testing.T) {
	tests := []struct {
		name string
		// sent is the number of bytes that the caller writes, size the declared
		// Content-Length.
		sent, size int
		want       result.Code
		within     time.Duration
	}{
		{"stalled", 10, 100, result.BadRequest, bodyTimeout + 10*time.Millisecond},
		{"large", maxBodyBytes + 1, maxBodyBytes + 1, result.BodyTooLarge, bodyTimeout},
		{"largest", maxBodyBytes, maxBodyBytes, result.OK, bodyTimeout},
		{"refused unread", 10, 100, result.Draining, bodyTimeout + 10*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				code, took := postBody(t, test.sent, test.size, test.want == result.Draining)
				if diff := cmp.Diff(test.want, code); diff != "" {
					t.Errorf("code (-want +got):\n%s", diff)
				}
				if took > test.within {
					t.Errorf("the answer took %v", took)
				}
			})
		})
	}
}

func readBodyCode(w http.ResponseWriter, r *http.Request) result.Code {
	_, err := readBody(w, r, (&memory.Budget{Bytes: maxBodiesBytes}).NewAllowance())
	if e := result.From(err); e != nil {
		return e.Code
	}
	return result.OK
}

// postBody sends sent bytes of a body of the declared size to a caller server. It
// returns the code of readBody, or Draining if the server refuses the request
// without reading its body.
func postBody(t *testing.T, sent, size int, refused bool) (result.Code, time.Duration) {
	m := &link.Memory{Delay: time.Millisecond}
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	l, err := m.Process(addr.Addr()).Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setBodyDeadline(w, time.Now())
		code := result.Draining
		if !refused {
			code = readBodyCode(w, r)
		}
		fmt.Fprintf(w, "code %d\n", int(code))
	}))
	go s.Serve(l)
	defer time.Sleep(time.Second) // the server delays closing a connection
	defer s.Close()
	start := time.Now()
	conn, err := m.Process(netip.MustParseAddr("10.0.3.1")).Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		io.WriteString(conn, strings.Repeat(" ", sent))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var code result.Code
	if _, err := fmt.Fscanf(resp.Body, "code %d", (*int)(&code)); err != nil {
		t.Fatal(err)
	}
	return code, time.Since(start)
}

// TestBodiesTogether checks that bodies that take all memory for bodies make another
// large one fail before anything of it runs, and no small one.
func TestBodiesTogether(t *testing.T) {
	budget := &memory.Budget{Bytes: maxBodyBytes}
	read := func(size int) (*memory.Allowance, error) {
		a := budget.NewAllowance()
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat(" ", size)))
		body, err := readBody(httptest.NewRecorder(), r, a)
		if err == nil && len(body) != size {
			t.Errorf("read %d bytes of %d", len(body), size)
		}
		return a, err
	}
	first, err := read(maxBodyBytes)
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(maxBodyBytes)
	if e := result.From(err); e == nil || e.Code != result.NoMemory || e.Ran != result.RanNo || e.RetryAfter == 0 {
		t.Errorf("another large body got %v", err)
	}
	second.Release()
	if _, err := read(smallBodyBytes - 1); err != nil {
		t.Errorf("a small body got %v", err)
	}
	first.Release()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
	if _, err := read(maxBodyBytes); err != nil {
		t.Errorf("a large body in calm got %v", err)
	}
}

// BenchmarkAdmitBody measures checking and hashing a 1 KB body.
func BenchmarkAdmitBody(b *testing.B) {
	body := []byte(`{"Text": "` + strings.Repeat("x", 1000) + `"}`)
	req := &pipeline.Request{Pipeline: &declaration.Pipeline{Name: "P"}, Input: body}
	b.ReportAllocs()
	for b.Loop() {
		if err := checkBody(body); err != nil {
			b.Fatal(err)
		}
		setDigests(req)
	}
}
