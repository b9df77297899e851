package section

import (
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("section")

// Snapshot is everything that the records up to Covers amount to. On the
// stream it stands for those records once they have left the log's retention;
// a host that has folded them itself takes no notice of its content, so that
// a late or doubled snapshot changes nothing.
type Snapshot struct {
	Covers   platform.Offset
	Rule     int
	Floor    platform.Offset
	Sections []SnapshotSection
	Verdicts []declaration.Verdict
}

// SnapshotSection is an Entry in a Snapshot.
type SnapshotSection struct {
	Name     string
	Revision platform.Offset
	Author   string
	ChangeID string
	Text     declaration.Text `json:",omitempty"`
	Removed  bool             `json:",omitempty"`
}

// restore makes the fold that s describes. It refuses a snapshot of a rule that
// this release does not know, and one that breaks the rules it names.
func restore(s *Snapshot, latest int) (*fold, error) {
	f := newFold(latest)
	f.offset, f.rule, f.floor = s.Covers, s.Rule, s.Floor
	if s.Rule < declaration.FirstRule || f.halted() {
		return nil, Error.New("snapshot of rule %d; this release knows up to %d", s.Rule, latest)
	}
	for i := range s.Sections {
		p := &s.Sections[i]
		e := &Entry{Revision: p.Revision, Author: p.Author, ChangeID: p.ChangeID, Text: p.Text, Removed: p.Removed}
		if f.sections[p.Name] != nil || p.Revision > s.Covers {
			return nil, Error.New("snapshot: section %q twice or of revision %d beyond %d", p.Name, p.Revision, s.Covers)
		}
		if !p.Removed {
			parsed, problems := declaration.ParseSection(p.Name, p.Text, s.Rule)
			if len(problems) > 0 {
				return nil, Error.New("snapshot: %w", problems)
			}
			e.section = *parsed
		}
		f.put(p.Name, e)
	}
	var fault error
	f.document().Check(func(section string, path declaration.Path, format string, args ...any) {
		fault = Error.New("snapshot: section %q: %s: "+format, append([]any{section, path}, args...)...)
	})
	for _, v := range s.Verdicts {
		f.addVerdict(v)
	}
	return f, fault
}

// Mark is a place on the stream and the time of its append by the log's clock.
type Mark struct {
	Offset platform.Offset
	At     time.Time
}

// Coverage says which records of the stream a host that starts anew needs.
type Coverage struct {
	// Snapshot is the newest snapshot that covers the most, and Covers what it
	// covers.
	Snapshot Mark
	Covers   platform.Offset
	// Uncovered are the records after Covers other than snapshots, oldest first.
	Uncovered []Mark
}

// maxUncovered bounds the records that no snapshot covers; beyond it one is
// written at once.
const maxUncovered = 2000

// add takes note of a record; covers is that of a snapshot.
func (c *Coverage) add(r *platform.Record, covers platform.Offset) {
	m := Mark{Offset: r.Offset, At: r.At}
	if r.Kind != SnapshotKind {
		if len(c.Uncovered) <= maxUncovered {
			c.Uncovered = append(c.Uncovered, m)
		}
		return
	}
	if covers < c.Covers || covers >= r.Offset {
		return
	}
	c.Snapshot, c.Covers = m, covers
	for len(c.Uncovered) > 0 && c.Uncovered[0].Offset <= covers {
		c.Uncovered = c.Uncovered[1:]
	}
}

// needed returns the oldest record that a host which starts anew needs, or a
// zero Mark when there is none.
func (c *Coverage) oldestNeeded() Mark {
	if len(c.Uncovered) > 0 && (c.Snapshot.Offset == 0 || c.Uncovered[0].Offset < c.Snapshot.Offset) {
		return c.Uncovered[0]
	}
	return c.Snapshot
}

// clone returns a copy that shares nothing.
func (c *Coverage) clone() Coverage {
	out := *c
	out.Uncovered = append([]Mark(nil), c.Uncovered...)
	return out
}

// retention is what a reader has seen of the log's retention.
type retention struct{ oldest, next platform.Offset }

// headroomParts is the part of the kept records, counted from the oldest, in
// which a needed record is in danger: the first of four.
const expiryMarginDivisor = 4

// endangered reports whether a needed record is among the next to go.
func (t retention) expiresSoon(needed platform.Offset) bool {
	return t.oldest > 1 && needed-t.oldest < (t.next-t.oldest+expiryMarginDivisor-1)/expiryMarginDivisor
}

// due reports whether a snapshot must be written: at the age that the settings
// name, or earlier when the needed record is among the oldest that the log
// still keeps or too many are uncovered.
func (c *Coverage) due(now time.Time, age time.Duration, t retention) bool {
	m := c.oldestNeeded()
	if m.Offset == 0 {
		return false
	}
	return now.Sub(m.At) >= age || t.expiresSoon(m.Offset) || len(c.Uncovered) > maxUncovered
}
