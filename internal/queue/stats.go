package queue

import "github.com/rcrowley/go-metrics"

// Stats counts a dispatcher's messages to the holders of shards, and its fallbacks.
type Stats struct {
	// Asked counts grants requested from other hosts, Reports the messages that
	// carry only completions, Lists those that carry all held slots.
	Asked, Reports, Lists metrics.Counter
	// Fallbacks counts attempts that used the host's own share because a holder
	// did not answer or knew only stale targets.
	Fallbacks metrics.Counter
}

// NewStats returns counters at zero.
func NewStats() *Stats {
	return &Stats{metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter()}
}

// Register adds the counters to r.
func (s *Stats) Register(r metrics.Registry) error {
	for name, c := range map[string]metrics.Counter{
		"QueueAsked": s.Asked, "QueueReports": s.Reports, "QueueLists": s.Lists, "QueueFallbacks": s.Fallbacks,
	} {
		if err := r.Register(name, c); err != nil {
			return err
		}
	}
	return nil
}

// Holders returns the number of holders that this host has used.
func (d *Dispatcher) Holders() int {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	return len(d.links.byName)
}
