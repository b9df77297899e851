package section

import (
	"sort"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// State is the document in force after folding the records up to Offset. It is
// immutable.
type State struct {
	Offset platform.Offset
	// Rule is the rule version in force.
	Rule int
	// Revisions holds the revision of each section in force.
	Revisions map[string]platform.Offset
	Document  *declaration.Document
	View      *declaration.View

	floor    platform.Offset
	entries  map[string]*Entry
	verdicts []declaration.Verdict
}

// Revision returns the base revision that a change of the named section must
// state.
func (s *State) Revision(section string) platform.Offset {
	if e := s.entries[section]; e != nil {
		return e.Revision
	}
	return s.floor
}

// Entry returns the named section as published, or nil if it is not in force.
func (s *State) Entry(section string) *Entry {
	if e := s.entries[section]; e != nil && !e.Removed {
		return e
	}
	return nil
}

// Names returns the sorted names of the sections in force.
func (s *State) Names() []string {
	out := make([]string, 0, len(s.Revisions))
	for name := range s.Revisions {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Verdict returns the verdict on a change, or nil if the change has not been
// read yet or its verdict has been dropped.
func (s *State) Verdict(changeID string) *declaration.Verdict {
	for i := len(s.verdicts) - 1; i >= 0; i-- {
		if s.verdicts[i].ChangeID == changeID {
			return &s.verdicts[i]
		}
	}
	return nil
}

// snapshot returns s in full, for the stream or for a peer.
func (s *State) snapshot() *Snapshot {
	out := &Snapshot{Covers: s.Offset, Rule: s.Rule, Floor: s.floor, Verdicts: s.verdicts}
	for name, e := range s.entries {
		out.Sections = append(out.Sections, SnapshotSection{
			Name: name, Revision: e.Revision, Author: e.Author, ChangeID: e.ChangeID, Text: e.Text, Removed: e.Removed,
		})
	}
	sort.Slice(out.Sections, func(i, j int) bool { return out.Sections[i].Name < out.Sections[j].Name })
	return out
}
