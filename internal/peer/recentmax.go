package peer

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// RecentMax is the largest recent number of hosts. Hosts that are partitioned from
// each other believe each other dead; what all share must not be divided among fewer
// hosts as soon as they do. Exported fields are set before the first call.
type RecentMax struct {
	Clock *clock.Service
	// Count returns the number of hosts that are believed alive.
	Count func() int
	// Lifetime is how long a number counts.
	Lifetime time.Duration

	mu  sync.Mutex
	max int
	at  time.Time
}

// Value returns the largest number within Lifetime, at least one.
func (m *RecentMax) Value() int {
	n, now := max(1, m.Count()), m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if n >= m.max || now.Sub(m.at) > m.Lifetime {
		m.max, m.at = n, now
	}
	return m.max
}
