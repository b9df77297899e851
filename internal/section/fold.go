package section

import (
	"encoding/json"
	"fmt"
	"strings"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// Kinds of records on the Config stream. Every host skips records of any other
// kind.
const (
	// ChangeKind records carry a declaration.Change; the record's ID is the
	// change ID.
	ChangeKind = "Change"
	// SnapshotKind records carry a Snapshot.
	SnapshotKind = "Snapshot"
	// RuleKind records carry a RuleChange.
	RuleKind = "Rule"
)

// RuleChange brings the next rule version into force. A rule version must
// accept every document that its predecessor accepted.
type RuleChange struct{ Version int }

// Bounds of the fold's memory. They must be the same on all hosts, since hosts
// that drop different entries would reach different verdicts.
const (
	// maxVerdicts bounds the changes whose verdict is kept. A duplicate of a
	// change that follows after more than that many others is judged again, but
	// it can't be accepted twice, since a base revision matches only once.
	maxVerdicts = 1024
	// maxTombstones bounds the tombstones of removed sections.
	maxTombstones = 256
	// maxReasonBytes bounds the length of one reason in a verdict.
	maxReasonBytes = 256
	// maxChangeBytes bounds the size of a change record.
	maxChangeBytes = 2*declaration.MaxTextBytes + 1<<16
)

// Entry is a section in the fold. It is immutable.
type Entry struct {
	// Revision is the offset of the change that created the entry.
	Revision platform.Offset
	Author   string
	ChangeID string
	Text     declaration.Text
	// Removed marks a tombstone, which keeps a late duplicate of an old change
	// from creating the section again.
	Removed bool

	section declaration.Section
}

// fold applies the records of the Config stream in offset order. It reads no
// clock and no setting, so that equal prefixes of the stream give equal folds
// on all hosts. One goroutine owns it.
type fold struct {
	offset     platform.Offset // of the last record folded
	rule       int
	latestRule int             // the newest rule version this release knows
	floor      platform.Offset // the revision of sections without an entry
	sections   map[string]*Entry
	verdicts   []declaration.Verdict // oldest first
	judged     map[string]bool       // by change ID
	textBytes  int
	tombstones int
}

func newFold(latest int) *fold {
	return &fold{rule: declaration.FirstRule, latestRule: latest, sections: map[string]*Entry{}, judged: map[string]bool{}}
}

// halted reports whether a rule version is in force that this release does not
// know. The records after it can't be judged here.
func (f *fold) halted() bool { return f.rule > f.latestRule }

// apply folds the next record. It does nothing once the fold has halted.
func (f *fold) apply(r *platform.Record) {
	if r.Offset != f.offset+1 {
		panic(fmt.Sprintf("section: record %d applied after %d", r.Offset, f.offset))
	}
	if f.halted() {
		return
	}
	f.offset = r.Offset
	switch r.Kind {
	case ChangeKind:
		f.applyChange(r)
	case RuleKind:
		var c RuleChange
		if json.Unmarshal(r.Data, &c) == nil && c.Version == f.rule+1 {
			f.rule = c.Version
		}
	}
}

// applyChange judges the first copy of a change and stores the verdict.
func (f *fold) applyChange(r *platform.Record) {
	if r.ID == "" || f.judged[r.ID] {
		return
	}
	v := declaration.Verdict{ChangeID: r.ID, Offset: int64(r.Offset)}
	var c declaration.Change
	if len(r.Data) > maxChangeBytes || json.Unmarshal(r.Data, &c) != nil {
		v.Kind, v.Reasons = declaration.Invalid, []string{"the record holds no change"}
	} else {
		f.judge(r, &c, &v)
	}
	f.addVerdict(v)
}

func (f *fold) judge(r *platform.Record, c *declaration.Change, v *declaration.Verdict) {
	v.Section = c.Section
	v.Revision = int64(f.revision(c.Section))
	if c.Base != v.Revision {
		v.Kind = declaration.Overtaken
		if e := f.sections[c.Section]; e != nil {
			v.By, v.ByChange = e.Author, e.ChangeID
		}
		return
	}
	next, reasons := f.candidate(r, c)
	if len(reasons) > 0 {
		v.Kind, v.Reasons = declaration.Invalid, reasons
		return
	}
	f.put(c.Section, next)
	v.Kind, v.Revision = declaration.Accepted, int64(r.Offset)
}

// revision returns the base revision that a change of the named section must
// state.
func (f *fold) revision(section string) platform.Offset {
	if e := f.sections[section]; e != nil {
		return e.Revision
	}
	return f.floor
}

// candidate returns the entry that c would create, and the reasons that make c
// invalid.
func (f *fold) candidate(r *platform.Record, c *declaration.Change) (*Entry, []string) {
	old := f.sections[c.Section]
	if c.RuleVersion > f.rule {
		return nil, []string{fmt.Sprintf("made for rule %d, but rule %d is in force", c.RuleVersion, f.rule)}
	}
	if c.Removed && (old == nil || old.Removed) {
		return nil, []string{"there is no such section to remove"}
	}
	e := &Entry{Revision: r.Offset, Author: c.Author, ChangeID: r.ID, Removed: c.Removed}
	if !c.Removed {
		s, problems := declaration.ParseSection(c.Section, c.Text, f.rule)
		if len(problems) > 0 {
			return nil, reasonsFrom(problems)
		}
		e.Text, e.section = c.Text, *s
	}
	if !signed(r.ID, c, old, e) {
		return nil, []string{"not signed by a key of the section"}
	}
	return e, f.conflicts(c.Section, e)
}

// signed reports whether c's signature allows it to replace old by e. The keys
// in force decide; if the section has none, those of the new entry do.
func signed(changeID string, c *declaration.Change, old, e *Entry) bool {
	keys := e.section.Keys
	if old != nil && len(old.section.Keys) > 0 {
		keys = old.section.Keys
	}
	return len(keys) == 0 || c.SignedByAny(changeID, keys)
}

func reasonsFrom(problems declaration.Problems) []string {
	var out []string
	for _, p := range problems[:min(len(problems), declaration.MaxReasons)] {
		out = append(out, truncateReason(p.String()))
	}
	return out
}

func truncateReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonBytes], "")
}

// conflicts returns the problems that the whole document would have if section
// name became e.
func (f *fold) conflicts(name string, e *Entry) []string {
	var reasons []string
	d := f.document()
	delete(d.Sections, name)
	if !e.Removed {
		d.Sections[name] = e.section
	}
	size := f.textBytes + len(e.Text)
	if old := f.sections[name]; old != nil {
		size -= len(old.Text)
	}
	if size > declaration.MaxDocumentBytes {
		reasons = append(reasons, fmt.Sprintf("the document would have %d bytes, the limit is %d", size, declaration.MaxDocumentBytes))
	}
	d.Check(func(section string, path declaration.Path, format string, args ...any) {
		if len(reasons) < declaration.MaxReasons {
			place := section
			if len(path) > 0 {
				place += ": " + path.String()
			}
			reasons = append(reasons, truncateReason(place+": "+fmt.Sprintf(format, args...)))
		}
	})
	return reasons
}

// document returns the sections in force in a new map.
func (f *fold) document() *declaration.Document {
	d := &declaration.Document{Sections: make(map[string]declaration.Section, len(f.sections))}
	for name, e := range f.sections {
		if !e.Removed {
			d.Sections[name] = e.section
		}
	}
	return d
}

// put makes e the entry of section name. Beyond maxTombstones the oldest
// tombstone is dropped and its revision becomes the floor, the revision of
// every section without an entry.
func (f *fold) put(name string, e *Entry) {
	if old := f.sections[name]; old != nil {
		f.textBytes -= len(old.Text)
		if old.Removed {
			f.tombstones--
		}
	}
	f.sections[name] = e
	f.textBytes += len(e.Text)
	if !e.Removed {
		return
	}
	f.tombstones++
	if f.tombstones > maxTombstones {
		oldest := f.oldestTombstone()
		f.floor = f.sections[oldest].Revision
		delete(f.sections, oldest)
		f.tombstones--
	}
}

func (f *fold) oldestTombstone() string {
	oldest := ""
	for name, e := range f.sections {
		if e.Removed && (oldest == "" || e.Revision < f.sections[oldest].Revision) {
			oldest = name
		}
	}
	return oldest
}

// addVerdict stores a verdict and drops the oldest beyond maxVerdicts. Published
// states share the backing array, which is only ever appended to.
func (f *fold) addVerdict(v declaration.Verdict) {
	f.verdicts = append(f.verdicts, v)
	f.judged[v.ChangeID] = true
	if len(f.verdicts) > maxVerdicts {
		delete(f.judged, f.verdicts[0].ChangeID)
		f.verdicts = f.verdicts[1:]
	}
}

// state returns the State after the last record folded.
func (f *fold) state() *State {
	s := &State{
		Offset:    f.offset,
		Rule:      f.rule,
		Revisions: make(map[string]platform.Offset, len(f.sections)),
		Document:  f.document(),
		floor:     f.floor,
		entries:   make(map[string]*Entry, len(f.sections)),
		verdicts:  f.verdicts[:len(f.verdicts):len(f.verdicts)],
	}
	for name, e := range f.sections {
		s.entries[name] = e
		if !e.Removed {
			s.Revisions[name] = e.Revision
		}
	}
	s.View = declaration.NewView(s.Document)
	return s
}
