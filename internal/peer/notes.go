package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the notes that a host remembers.
const (
	// maxNotes bounds the notes; the one that expires first goes first.
	maxNotes = 4096
	// maxNoteBytes bounds the data of one note.
	maxNoteBytes = 4 << 10
	// repairLife is the life that a note must have left to be worth repairing.
	minRepairLifetime = 5 * time.Second
)

// notebook remembers the notes that have not expired, so that each is delivered
// once and peers that missed one can get it. Its owner is the control goroutine
// of the Exchange.
type noteStore struct {
	notes map[string]Note
}

// add stores n and reports whether it is new, alive and small enough.
func (b *noteStore) add(n Note, now time.Time) bool {
	if _, ok := b.notes[n.ID]; ok || !n.Expires.After(now) || len(n.Data) > maxNoteBytes {
		return false
	}
	if b.notes == nil {
		b.notes = map[string]Note{}
	}
	if len(b.notes) >= maxNotes {
		b.evictEarliest()
	}
	b.notes[n.ID] = n
	return true
}

func (b *noteStore) evictEarliest() {
	var first Note
	for _, n := range b.notes {
		if first.ID == "" || n.Expires.Before(first.Expires) {
			first = n
		}
	}
	delete(b.notes, first.ID)
}

// expire drops the notes whose time has passed.
func (b *noteStore) expire(now time.Time) {
	for id, n := range b.notes {
		if !n.Expires.After(now) {
			delete(b.notes, id)
		}
	}
}

// digest is the exclusive or of the hashes of the notes worth repairing.
func (b *noteStore) digest(now time.Time) uint64 {
	var d uint64
	for id, n := range b.notes {
		if n.Expires.Sub(now) > minRepairLifetime {
			d ^= xxhash.Sum64String(id)
		}
	}
	return d
}

// missing returns the notes that are not among ids.
func (b *noteStore) missing(ids []string, now time.Time) []Note {
	known := map[string]bool{}
	for _, id := range ids {
		known[id] = true
	}
	var out []Note
	for id, n := range b.notes {
		if !known[id] && n.Expires.After(now) {
			out = append(out, n)
		}
	}
	return out
}

func (b *noteStore) ids() []string {
	out := make([]string, 0, len(b.notes))
	for id := range b.notes {
		out = append(out, id)
	}
	return out
}
