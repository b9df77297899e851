package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/google/uuid"
)

// Exchange keeps the members and spreads notes. Exported fields are set, and
// OnNote called, before Run.
type Exchange struct {
	Self  Host
	Seeds []Host
	Net   link.Network
	Clock *clock.Service

	members  atomic.Pointer[Members]
	mu       sync.Mutex
	handlers map[NoteKind]func(Note)
}

// Members returns the hosts that are believed alive.
func (x *Exchange) Members() *Members {
	if m := x.members.Load(); m != nil {
		return m
	}
	return NewMembers([]Host{x.Self})
}

// OnNote subscribes f to the notes of one kind. f must not block.
func (x *Exchange) OnNote(kind NoteKind, f func(Note)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.handlers == nil {
		x.handlers = map[NoteKind]func(Note){}
	}
	x.handlers[kind] = f
}

// Spread sends n to every host.
func (x *Exchange) Spread(n Note) {
	n.ID = uuid.NewString()
	x.deliver(n)
}

func (x *Exchange) deliver(n Note) {
	x.mu.Lock()
	f := x.handlers[n.Kind]
	x.mu.Unlock()
	if f != nil {
		f(n)
	}
}

// Run keeps the members until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	x.members.Store(NewMembers(append([]Host{x.Self}, x.Seeds...)))
	<-ctx.Done()
	return ctx.Err()
}
