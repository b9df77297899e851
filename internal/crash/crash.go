// Package crash remembers requests whose runs broke targets, by digest of the
// body, so that one request breaks at most two targets whatever host its caller
// tries.
package crash

import (
	"sync"

	"berylswitch.example/berylswitch/internal/peer"
)

// maxTargets is the number of targets that a request may break.
const maxTargets = 2

// Table counts the targets that each body broke. Exported fields are set
// before Run.
type Table struct {
	Exchange *peer.Exchange

	mu     sync.Mutex
	broken map[string]map[string]bool
}

// Suspect reports whether a body with this digest must not run again.
func (t *Table) Suspect(digest string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.broken[digest]) >= maxTargets
}

// Broke records that target broke while it ran the body.
func (t *Table) Broke(digest, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken == nil {
		t.broken = map[string]map[string]bool{}
	}
	if t.broken[digest] == nil {
		t.broken[digest] = map[string]bool{}
	}
	t.broken[digest][target] = true
}
