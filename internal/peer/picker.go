package peer

import (
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// Picker picks the hosts that do work for all, and passes over those that were found
// not to answer before the members say so. Exported fields are set before the first
// call.
type Picker struct {
	Clock *clock.Service
	// Members returns the hosts that are believed alive.
	Members func() *Members

	mu        sync.Mutex
	skipUntil map[string]time.Time
}

// Holder returns the strong host that holds key.
func (p *Picker) Holder(key string) Host {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	members := p.Members()
	for name, until := range p.skipUntil {
		if !until.After(now) {
			delete(p.skipUntil, name)
			continue
		}
		members = members.Without(name)
	}
	return members.Strong().Holder(key)
}

// Skip passes over h for d.
func (p *Picker) Skip(h Host, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.skipUntil == nil {
		p.skipUntil = map[string]time.Time{}
	}
	p.skipUntil[h.Name] = p.Clock.Now().Add(d)
}
