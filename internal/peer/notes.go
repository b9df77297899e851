package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits on the notes that a host stores.
const (
	// maxNotes is the greatest number of notes. At the limit the note that expires
	// first is evicted.
	maxNotes = 4096
	// maxNoteBytes is the greatest size of a note's data.
	maxNoteBytes = 4 << 10
	// minRepairLifetime is the remaining lifetime above which a note counts in the
	// digest, so that its absence at a peer causes a sync.
	minRepairLifetime = 5 * time.Second
)

// noteStore holds the notes that have not expired, so that each is delivered
// once and peers that missed one can get it. Only the control goroutine of the
// Exchange uses it.
type noteStore struct {
	notes map[string]Note
}

// add stores n if it is new, not expired and small enough, and reports whether
// it did.
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

// expire deletes the notes that have expired.
func (b *noteStore) expire(now time.Time) {
	for id, n := range b.notes {
		if !n.Expires.After(now) {
			delete(b.notes, id)
		}
	}
}

// digest returns the XOR of the hashes of the IDs of all notes that have more
// than minRepairLifetime left.
func (b *noteStore) digest(now time.Time) uint64 {
	var d uint64
	for id, n := range b.notes {
		if n.Expires.Sub(now) > minRepairLifetime {
			d ^= xxhash.Sum64String(id)
		}
	}
	return d
}

// missing returns the unexpired notes whose IDs are not among ids.
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
