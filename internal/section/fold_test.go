package section

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
)

// signingKey derives a signing key from a name.
func signingKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// publicKeyText returns the public key of signingKey(name) as a section states it.
func publicKeyText(name string) string {
	return base64.StdEncoding.EncodeToString(signingKey(name).Public().(ed25519.PublicKey))
}

// TestFold runs each script under testdata/fold against a new fold. KEY(name) in
// a text is replaced by the public key of that name.
func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata/fold", func(t *testing.T, path string) {
		s := &foldScript{fold: newFold(declaration.LatestRule)}
		datadriven.RunTest(t, path, s.command)
	})
}

type foldScript struct{ fold *fold }

func (s *foldScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "change":
		return s.change(t, d)
	case "rule":
		var c RuleChange
		d.ScanArgs(t, "version", &c.Version)
		s.append(t, RuleKind, "", c)
	case "raw":
		s.fold.apply(&platform.Record{Offset: s.fold.offset + 1, Entry: platform.Entry{ID: "raw", Kind: ChangeKind, Data: []byte(d.Input)}})
		return formatVerdict(s.fold.state().Verdict("raw"))
	case "fill":
		s.fill(t, d)
	case "restore":
		return s.restore(t, d)
	case "state":
	default:
		d.Fatalf(t, "unknown command")
	}
	return s.state()
}

func (s *foldScript) append(t *testing.T, kind, id string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	s.fold.apply(&platform.Record{Offset: s.fold.offset + 1, Entry: platform.Entry{ID: id, Kind: kind, Data: data}})
}

func (s *foldScript) change(t *testing.T, d *datadriven.TestData) string {
	c := declaration.Change{Author: "ann", Removed: d.HasArg("removed")}
	var id, key, by string
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "section", &c.Section)
	d.ScanArgs(t, "base", &c.Base)
	d.MaybeScanArgs(t, "rule", &c.RuleVersion)
	d.MaybeScanArgs(t, "author", &c.Author)
	text := d.Input
	for _, name := range []string{"hall", "desk"} {
		text = strings.ReplaceAll(text, "KEY("+name+")", publicKeyText(name))
	}
	c.Text = declaration.Text(text)
	if d.MaybeScanArgs(t, "key", &key) {
		c.Sign(id, signingKey(key))
	}
	if d.MaybeScanArgs(t, "then", &by) {
		c.Author = by // changed after signing
	}
	s.append(t, ChangeKind, id, c)
	return formatVerdict(s.fold.state().Verdict(id))
}

// fill adds and removes n sections, or appends n changes with a wrong base.
func (s *foldScript) fill(t *testing.T, d *datadriven.TestData) {
	var n int
	d.ScanArgs(t, "n", &n)
	for i := range n {
		name := fmt.Sprintf("fill%d", i)
		base := s.fold.revision(name)
		if d.HasArg("tombstones") {
			s.append(t, ChangeKind, fmt.Sprintf("%s-%d", name, s.fold.offset), declaration.Change{Section: name, Base: int64(base), Text: declaration.Text("{}")})
			s.append(t, ChangeKind, fmt.Sprintf("%s-%d", name, s.fold.offset), declaration.Change{Section: name, Base: int64(s.fold.revision(name)), Removed: true})
		} else {
			s.append(t, ChangeKind, fmt.Sprintf("%s-%d", name, s.fold.offset), declaration.Change{Section: name, Base: -1})
		}
	}
}

// restore replaces the fold by one restored from its own snapshot and checks that
// both give the same snapshot and have the same set of judged changes.
func (s *foldScript) restore(t *testing.T, d *datadriven.TestData) string {
	latest := declaration.LatestRule
	d.MaybeScanArgs(t, "latest", &latest)
	data, err := json.Marshal(s.fold.state().snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		t.Fatal(err)
	}
	next, err := restore(&snap, latest)
	if err != nil {
		return err.Error()
	}
	again, err := json.Marshal(next.state().snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" {
		t.Errorf("snapshot of the restored fold (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(s.fold.judged, next.judged); diff != "" {
		t.Errorf("judged changes (-want +got):\n%s", diff)
	}
	s.fold = next
	return s.state()
}

func (s *foldScript) state() string {
	st := s.fold.state()
	var b strings.Builder
	fmt.Fprintf(&b, "offset %d rule %d floor %d tombstones %d verdicts %d", st.Offset, st.Rule, st.floor, s.fold.tombstones, len(st.verdicts))
	if s.fold.halted() {
		b.WriteString(" halted")
	}
	b.WriteString("\n")
	for _, name := range st.Names() {
		e := st.Entry(name)
		fmt.Fprintf(&b, "%s@%d by %s (%s): %s\n", name, e.Revision, e.Author, e.ChangeID, e.Text)
	}
	return b.String()
}

// formatVerdict formats a verdict.
func formatVerdict(v *declaration.Verdict) string {
	if v == nil {
		return "no verdict"
	}
	out := fmt.Sprintf("%s at %d, revision %d", v.Kind, v.Offset, v.Revision)
	if v.ByChange != "" {
		out += fmt.Sprintf(", by %s (%s)", v.By, v.ByChange)
	}
	return strings.Join(append([]string{out}, v.Reasons...), "\n  ")
}

// FuzzApply checks that no record makes the fold panic and that whatever the
// fold accepts can be restored from a snapshot.
func FuzzApply(f *testing.F) {
	f.Add(ChangeKind, []byte(`{"Section":"A","Text":"{\"Pools\":[{\"Name\":\"P\"}]}"}`))
	f.Add(ChangeKind, []byte(`{"Section":"A","Removed":true}`))
	f.Add(ChangeKind, []byte(`{"Section":"A\u0000","Base":-1,"Text":7}`))
	f.Add(RuleKind, []byte(`{"Version":2}`))
	f.Add(RuleKind, []byte(`{"Version":3}`))
	f.Add(SnapshotKind, []byte(`{"Covers":9}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		fold := newFold(declaration.LatestRule)
		for i := range 3 {
			fold.apply(&platform.Record{Offset: platform.Offset(i + 1), Entry: platform.Entry{ID: fmt.Sprint(i), Kind: kind, Data: data}})
		}
		if _, err := restore(fold.state().snapshot(), declaration.LatestRule); err != nil {
			t.Error(err)
		}
	})
}
