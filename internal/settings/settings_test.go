package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
)

// TestCheck runs the scripts under testdata/check. Each input is a settings file,
// each output lists its problems.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if _, err := Parse("host.jsonc", []byte(d.Input)); err != nil {
				return err.Error() + "\n"
			}
			return "ok\n"
		})
	})
}

// TestMaxConnections checks the limit on callers' connections. It guards against a default
// below the requests that a host runs, or beyond the process's descriptors.
func TestMaxConnections(t *testing.T) {
	if got := (&Settings{MaxConns: 7}).MaxConnections(); got != 7 {
		t.Errorf("%d connections, 7 are set", got)
	}
	for _, c := range []struct {
		fds  float64
		want int
	}{{1 << 20, 10240}, {4096, 1948}, {256, 28}, {100, 1}} {
		if got := defaultConnections(c.fds); got != c.want {
			t.Errorf("%v descriptors: %d connections, want %d", c.fds, got, c.want)
		}
	}
}

// FuzzParse checks that no text causes a panic and that each rejection reports at
// least one problem.
func FuzzParse(f *testing.F) {
	seeds, err := filepath.Glob("testdata/check/*")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range seeds {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"Name":"h","Domain":"A","CallerAddr":"10.0.0.1:80","PeerAddr":"10.0.0.1:81","LogAddr":"10.0.1.1:80"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse("f", text)
		var problems declaration.Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Errorf("rejected without a list of problems: %v", err)
		}
	})
}
