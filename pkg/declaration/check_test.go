package declaration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
)

// TestCheck runs the scripts under testdata/check. The command "file NAME"
// writes its input to a file; "check [rule=N]" checks all files written since
// the previous check and prints their problems.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		dir := t.TempDir()
		var files []string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				file := filepath.Join(dir, d.CmdArgs[0].Key)
				files = append(files, file)
				if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "check":
				rule := FirstRule
				d.MaybeScanArgs(t, "rule", &rule)
				_, problems, err := ReadFiles(rule, files...)
				files = nil
				if err != nil {
					t.Fatal(err)
				}
				if len(problems) == 0 {
					return "ok\n"
				}
				return strings.ReplaceAll(problems.Error(), dir+"/", "") + "\n"
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}

func TestBoundsOfText(t *testing.T) {
	for name, text := range map[string]string{
		"deep":   strings.Repeat("[", 1_000_000),
		"long":   strings.Repeat(" ", MaxTextBytes+1),
		"latin1": "{\"Owners\": [\"K\xf6k\"]}",
	} {
		_, problems := ParseSection(name, []byte(text), FirstRule)
		if len(problems) != 1 {
			t.Errorf("%s: %d problems, want 1", name, len(problems))
		}
	}
}

func TestProblemsAreBounded(t *testing.T) {
	text := "{" + strings.Repeat(`"X": 1,`, 10_000) + "}"
	_, problems := ParseSection("many", []byte(text), FirstRule)
	if diff := cmp.Diff(maxProblems, len(problems)); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestAdmits(t *testing.T) {
	digest := TokenDigest("open sesame")
	got := map[string]bool{}
	for _, w := range []Workspace{{}, {TokenSHA256: digest}, {TokenSHA256: digest[:62]}, {TokenSHA256: "zz"}} {
		for _, token := range []string{"", "open sesame", "open"} {
			got[fmt.Sprintf("%.4s/%d/%s", w.TokenSHA256, len(w.TokenSHA256), token)] = w.Admits(token)
		}
	}
	want := map[string]bool{
		"/0/": true, "/0/open sesame": true, "/0/open": true,
		"41ef/64/": false, "41ef/64/open sesame": true, "41ef/64/open": false,
		"41ef/62/": false, "41ef/62/open sesame": false, "41ef/62/open": false,
		"zz/2/": false, "zz/2/open sesame": false, "zz/2/open": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("admitted (-want +got):\n%s", diff)
	}
}

// FuzzParseSection checks that no text makes ParseSection panic and that the
// position of every problem lies inside the text.
func FuzzParseSection(f *testing.F) {
	seeds, err := filepath.Glob("testdata/check/*")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range seeds {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		for _, part := range strings.Split(string(text), "\n----\n") {
			f.Add([]byte(part[strings.Index(part, "\n")+1:]))
		}
	}
	for _, s := range []string{"", "{", "/*", "//", "\"\\", "{}}", "{\"Targets\":[{\"Slots\":1e9}]}", "{\"\\u0000\":\"\\ud800\"}", "null", "[{\"a\"://\n1}]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, problems := ParseSection("f", text, LatestRule)
		lines := strings.Split(string(text), "\n")
		for _, p := range problems {
			if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 {
				t.Errorf("problem outside the text: %v", p)
			}
		}
	})
}
