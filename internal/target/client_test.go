package target

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestReadPieces applies faults to complete answers: an attempt that succeeds must
// have delivered exactly the pieces that its target sent, once each and in order.
func TestReadPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &contract.Run{AttemptID: "a", ResumeFrom: rapid.IntRange(0, 3).Draw(t, "from")}
		var lines []string
		var want []string
		n := rapid.IntRange(1, 6).Draw(t, "pieces")
		for i := range n {
			p := contract.Piece{AttemptID: "a", Seq: run.ResumeFrom + i, Data: fmt.Sprint("p", i), End: i == n-1}
			lines = append(lines, encode(p))
			want = append(want, p.Data)
		}
		for _, m := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 2).Draw(t, "faults") {
			lines = mangle(t, lines, m)
		}
		var got []string
		a := &Attempt{Target: &declaration.Target{Name: "t"}, Run: run, OnPiece: func(p contract.Piece) error {
			got = append(got, p.Data)
			return nil
		}}
		s := newSend(t.Context(), a)
		defer s.cancel()
		err := s.readPieces(bufio.NewScanner(strings.NewReader(strings.Join(lines, ""))))
		if err == nil {
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("pieces of a successful attempt (-want +got):\n%s", diff)
			}
		}
		if len(got) > len(want) {
			t.Fatalf("got %d pieces, want at most %d", len(got), len(want))
		}
	})
}

func encode(p contract.Piece) string {
	data, err := json.Marshal(&p)
	if err != nil {
		panic(err)
	}
	return string(data) + "\n"
}

// mangle applies a fault to one line: 0 drops it, 1 duplicates it, 2 swaps it with
// the next, 3 assigns it to another attempt, 4 truncates it, 5 ends the answer
// before it.
func mangle(t *rapid.T, lines []string, fault int) []string {
	if len(lines) == 0 {
		return lines
	}
	i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
	out := append([]string(nil), lines[:i]...)
	rest := lines[i+1:]
	switch fault {
	case 0:
	case 1:
		out = append(out, lines[i], lines[i])
	case 2:
		if len(rest) > 0 {
			out = append(out, rest[0], lines[i])
			rest = rest[1:]
		} else {
			out = append(out, lines[i])
		}
	case 3:
		foreign := strings.Replace(lines[i], `"AttemptID":"a"`, `"AttemptID":"b"`, 1)
		out = append(out, strings.Replace(foreign, `"Data":"p`, `"Data":"q`, 1))
	case 4:
		out = append(out, lines[i][:len(lines[i])/2])
	case 5:
		return out
	}
	return append(out, rest...)
}

// BenchmarkReadPieces reads and checks the pieces of a streamed answer.
func BenchmarkReadPieces(b *testing.B) {
	const pieces = 200
	run := &contract.Run{AttemptID: "0192f0c1-7e5a-7000-8000-000000000000"}
	var lines strings.Builder
	for i := range pieces {
		lines.WriteString(encode(contract.Piece{AttemptID: run.AttemptID, Seq: i, Data: " token", End: i == pieces-1}))
	}
	a := &Attempt{Target: &declaration.Target{Name: "t"}, Run: run, OnPiece: func(contract.Piece) error { return nil }}
	b.ReportAllocs()
	for b.Loop() {
		s := newSend(b.Context(), a)
		if err := s.readPieces(bufio.NewScanner(strings.NewReader(lines.String()))); err != nil {
			b.Fatal(err)
		}
		s.cancel()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/pieces, "ns/piece")
}
