package section

import (
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("section")

// Snapshot is the complete state after the records up to Covers. On the stream
// it replaces those records once they have left the log's retention. A host
// that has folded them itself ignores its content, so a late or duplicate
// snapshot changes nothing.
type Snapshot struct {
	Covers   platform.Offset
	Rule     int
	Floor    platform.Offset
	Sections []SnapshotSection
	Verdicts []declaration.Verdict
}

// SnapshotSection is the stored form of an Entry.
type SnapshotSection struct {
	Name     string
	Revision platform.Offset
	Author   string
	ChangeID string
	Text     declaration.Text `json:",omitempty"`
	Removed  bool             `json:",omitempty"`
}

// restore builds the fold that s describes. It rejects a snapshot under a rule
// version that this release does not know, and one that violates the rules it
// was written under.
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
			return nil, Error.New("snapshot: section %q is a duplicate or has revision %d beyond %d", p.Name, p.Revision, s.Covers)
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

// Mark is the offset of a record and its append time by the log's clock.
type Mark struct {
	Offset platform.Offset
	At     time.Time
}

// Coverage describes which records of the stream a newly started host needs.
type Coverage struct {
	// Snapshot is the newest of the snapshots with the highest covered offset;
	// Covers is that offset.
	Snapshot Mark
	Covers   platform.Offset
	// Uncovered lists the records after Covers other than snapshots, oldest
	// first. It stops growing just above maxUncovered.
	Uncovered []Mark
}

// maxUncovered bounds the records that no snapshot covers; beyond it a snapshot
// is due at once.
const maxUncovered = 2000

// add records r; covers is the offset that r covers if it is a snapshot.
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

// oldestNeeded returns the oldest record that a newly started host needs, or a
// zero Mark if there is none.
func (c *Coverage) oldestNeeded() Mark {
	if len(c.Uncovered) > 0 && (c.Snapshot.Offset == 0 || c.Uncovered[0].Offset < c.Snapshot.Offset) {
		return c.Uncovered[0]
	}
	return c.Snapshot
}

// clone returns a deep copy.
func (c *Coverage) clone() Coverage {
	out := *c
	out.Uncovered = append([]Mark(nil), c.Uncovered...)
	return out
}

// retention is the range of offsets that a reader knows the log to keep.
type retention struct{ oldest, next platform.Offset }

// expiryMarginDivisor sets the part of the retained records in which a needed
// record is close to expiry: the oldest quarter.
const expiryMarginDivisor = 4

// expiresSoon reports whether a needed record is among the next to leave the
// retention.
func (t retention) expiresSoon(needed platform.Offset) bool {
	return t.oldest > 1 && needed-t.oldest < (t.next-t.oldest+expiryMarginDivisor-1)/expiryMarginDivisor
}

// due reports whether a snapshot must be written: when the oldest needed record
// reaches the configured age, or earlier when it is among the oldest that the
// log still keeps or too many records are uncovered.
func (c *Coverage) due(now time.Time, age time.Duration, t retention) bool {
	m := c.oldestNeeded()
	if m.Offset == 0 {
		return false
	}
	return now.Sub(m.At) >= age || t.expiresSoon(m.Offset) || len(c.Uncovered) > maxUncovered
}
