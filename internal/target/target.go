// Package target keeps what a host knows of targets: which exist, which are
// leaving, and how to run an attempt at one of them.
package target

import (
	"sync/atomic"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Registry holds the targets that may get new work. Its control goroutine
// publishes an immutable set; traffic goroutines read it.
type Registry struct {
	set atomic.Pointer[Set]
}

// Set is an immutable set of usable targets.
type Set struct {
	byPool map[string][]*declaration.Target
	byName map[string]*declaration.Target
}

// Publish replaces the set by the targets of v that are not leaving.
func (r *Registry) Publish(v *declaration.View) {
	s := &Set{byPool: map[string][]*declaration.Target{}, byName: map[string]*declaration.Target{}}
	for name, t := range v.Targets {
		if t.Leaving {
			continue
		}
		s.byName[name] = t
		s.byPool[t.Pool] = append(s.byPool[t.Pool], t)
	}
	r.set.Store(s)
}

// Lookup returns the usable target of that name, or nil.
func (r *Registry) Lookup(name string) *declaration.Target {
	if s := r.set.Load(); s != nil {
		return s.byName[name]
	}
	return nil
}

// Usable returns the targets of pool that may get new work and, unless model
// is empty, serve it. The caller must not change the targets.
func (r *Registry) Usable(pool, model string) []*declaration.Target {
	s := r.set.Load()
	if s == nil {
		return nil
	}
	if model == "" {
		return s.byPool[pool]
	}
	var out []*declaration.Target
	for _, t := range s.byPool[pool] {
		if serves(t, model) {
			out = append(out, t)
		}
	}
	return out
}

func serves(t *declaration.Target, model string) bool {
	for _, m := range t.Models {
		if m == model {
			return true
		}
	}
	return false
}
