package peer

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/google/uuid"
)

// Times and counts of the gossip protocol.
const (
	// beatInterval is the time between two heartbeats of a host, each to the next
	// of its neighbours.
	beatInterval = 500 * time.Millisecond
	// neighbourCount is the number of hosts that a host monitors.
	neighbourCount = 8
	// beatTimeout bounds a heartbeat. After a failed one, indirectProbes other
	// hosts are asked to send theirs.
	beatTimeout    = 500 * time.Millisecond
	indirectProbes = 3
	// suspicionTimeout is the time that a suspected host has to refute the
	// suspicion.
	suspicionTimeout = 2 * time.Second
	// pushDelay is the time for which changes are collected into one push.
	pushDelay = 20 * time.Millisecond
	// reconnectEvery is the number of rounds between two attempts to reach a dead
	// host or a seed that is not in the table.
	reconnectEvery = 5
	// joinInterval is the time between two attempts to reach all seeds after the
	// start, while none has replied; maxJoinAttempts bounds the attempts.
	joinInterval    = 100 * time.Millisecond
	maxJoinAttempts = 20
	// syncInterval is the least time between two syncs that are caused by
	// differing digests. syncTimeout bounds one sync.
	syncInterval = 5 * time.Second
	syncTimeout  = 5 * time.Second
)

// Exchange tracks the members and spreads notes by gossip. Every beatInterval it
// sends a heartbeat to one of a few neighbours. Changes are pushed to all
// neighbours at once. Heartbeats carry digests, and hosts whose digests differ
// sync their whole state. One control goroutine owns the state; Members is an
// immutable snapshot. Exported fields are set, and OnNote and Register called,
// before Run.
type Exchange struct {
	Self   Host
	Seeds  []Host
	Net    link.Network
	Clock  *clock.Service
	Caller *Caller
	// Discover, unless nil, returns hosts to contact when no other member is known.
	Discover func(ctx context.Context) ([]Host, error)
	// Offset, unless nil, returns the offset of the configuration in force.
	Offset func() int64
	// OnNewerOffset, unless nil, is called with a host whose offset in force is
	// later than this host's. It must neither block nor call the Exchange.
	OnNewerOffset func(h Host, offset int64)

	members     atomic.Pointer[Members]
	lastContact atomic.Int64 // time of the last heartbeat or sync reply of a peer, Unix nanoseconds
	handlers    map[NoteKind]func(Note)

	once     sync.Once
	commands chan func()
	stopped  chan struct{}

	// The control goroutine owns the fields below.
	ctx           context.Context
	table         *table
	notes         noteStore
	neighbours    []Host
	nextNeighbour int
	rounds        int
	joinAttempts  int
	rand          *rand.Rand
	pending       Push
	pushTimer     <-chan struct{}
	lastSync      time.Time
	lastChange    time.Time
	left          bool
	// ownsCaller is set if the Exchange made Caller and so has to close it.
	ownsCaller bool
}

// init makes the channels, which calls may use before Run.
func (x *Exchange) init() {
	x.once.Do(func() {
		x.commands = make(chan func())
		x.stopped = make(chan struct{})
	})
}

// Register adds the exchange's service to s.
func (x *Exchange) Register(s *rpc.Server) error {
	return s.RegisterName(rpcName, &Service{x: x})
}

// Members returns the hosts that are believed alive.
func (x *Exchange) Members() *Members {
	if m := x.members.Load(); m != nil {
		return m
	}
	return NewMembers([]Host{x.Self})
}

// LastContact returns the time of the last heartbeat or sync reply of a peer, or
// the zero time if there was none.
func (x *Exchange) LastContact() time.Time {
	if ns := x.lastContact.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// OnNote sets f as the handler of notes of one kind. The control goroutine calls
// f, which must neither block nor call the Exchange.
func (x *Exchange) OnNote(kind NoteKind, f func(Note)) {
	if x.handlers == nil {
		x.handlers = map[NoteKind]func(Note){}
	}
	x.handlers[kind] = f
}

// Spread sends n to every host, this one included. Without an Expires it expires
// after noteLifetime.
func (x *Exchange) Spread(n Note) {
	n.ID = uuid.NewString()
	if n.Expires.IsZero() {
		n.Expires = x.Clock.Now().Add(noteLifetime)
	}
	x.do(func() { x.merge(nil, []Note{n}) })
}

// noteLifetime is the lifetime of a note without an Expires.
const noteLifetime = time.Minute

// Announce sends a heartbeat to every neighbour at once. The host calls it when
// a later configuration is in force, so that hosts which can't reach the log
// service get it from those that can without waiting for a regular heartbeat.
func (x *Exchange) Announce() {
	x.do(func() {
		beat := x.beat()
		for _, h := range x.neighbours {
			go func() {
				if reply, err := x.sendBeat(h, beat); err == nil {
					x.do(func() { x.handleBeat(reply) })
				}
			}()
		}
	})
}

// Leave notifies the neighbours that this host leaves, so that it is removed
// from the members without the delay of failure detection. The host must not be
// used as a holder afterwards.
func (x *Exchange) Leave() {
	x.do(func() {
		own := x.table.own().Update
		own.State = Left
		x.table.put(own, x.Clock.Now())
		x.pending.Updates = append(x.pending.Updates, own)
		x.left = true
		x.push()
	})
}

// do runs f in the control goroutine and waits for its end.
func (x *Exchange) do(f func()) error {
	x.init()
	done := make(chan struct{})
	select {
	case x.commands <- func() { f(); close(done) }:
		<-done
		return nil
	case <-x.stopped:
		return errNotRunning
	}
}

// Run runs the protocol until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	x.init()
	defer close(x.stopped)
	x.start(ctx)
	if x.ownsCaller {
		defer x.Caller.Close()
	}
	x.join()
	var beat <-chan time.Time
	firstBeat, _ := x.Clock.After(x.phase())
	rejoin, _ := x.Clock.After(joinInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-x.commands:
			f()
		case <-firstBeat:
			firstBeat, beat = nil, x.Clock.Subscribe(ctx, beatInterval)
			x.reconnect()
		case <-rejoin:
			rejoin = nil
			if len(x.neighbours) == 0 && x.joinAttempts < maxJoinAttempts {
				x.join()
				rejoin, _ = x.Clock.After(joinInterval)
			}
		case <-beat:
			x.round()
		case <-x.pushTimer:
			x.push()
		}
	}
}

func (x *Exchange) start(ctx context.Context) {
	x.ctx = ctx
	x.table = newTable(x.Self)
	x.rand = rand.New(rand.NewPCG(Weight(x.Self.Name, "exchange"), 0))
	if x.Caller == nil {
		x.Caller = &Caller{Net: x.Net}
		x.ownsCaller = true
	}
	x.publish()
}

// phase returns the delay of the first heartbeat, which spreads the heartbeats
// of many hosts over beatInterval.
func (x *Exchange) phase() time.Duration {
	return time.Duration(Weight(x.Self.Name, "phase") % uint64(beatInterval))
}

// publish stores a new Members snapshot and recomputes the neighbours.
func (x *Exchange) publish() {
	m := x.table.members()
	x.members.Store(m)
	x.neighbours = neighbours(m, x.Self.Name, neighbourCount)
}

// round runs one round of the protocol: it removes what has expired and starts a
// heartbeat to the next neighbour.
func (x *Exchange) round() {
	now := x.Clock.Now()
	x.notes.expire(now)
	x.markDead(x.table.expiredSuspects(now))
	x.rounds++
	if x.rounds%reconnectEvery == 0 || len(x.neighbours) == 0 {
		x.reconnect()
	}
	if len(x.neighbours) == 0 {
		return
	}
	x.nextNeighbour = (x.nextNeighbour + 1) % len(x.neighbours)
	h := x.neighbours[x.nextNeighbour]
	beat := x.beat()
	go x.checkNeighbour(h, beat)
}

// beat returns the host's own heartbeat.
func (x *Exchange) beat() Beat {
	own := x.table.own()
	b := Beat{
		Name:        own.Host.Name,
		Incarnation: own.Host.Incarnation,
		Version:     own.Version,
		Members:     x.table.digest,
		Notes:       x.notes.digest(x.Clock.Now()),
	}
	if x.Offset != nil {
		b.Offset = x.Offset()
	}
	return b
}

// handleBeat handles the heartbeat of a peer, whether a request or a reply.
func (x *Exchange) handleBeat(b Beat) {
	now := x.Clock.Now()
	x.lastContact.Store(now.UnixNano())
	e := x.table.entries[b.Name]
	if e == nil {
		return
	}
	if b.Incarnation == e.Host.Incarnation && e.State == Suspect && b.Version >= e.Version {
		// The host is alive, but only it can refute the suspicion at other hosts:
		// notify it.
		u := e.Update
		go x.sendPush(e.Host, Push{Updates: []Update{u}})
	}
	if x.OnNewerOffset != nil && x.Offset != nil && b.Offset > x.Offset() {
		x.OnNewerOffset(e.Host, b.Offset)
	}
	own := x.beat()
	if b.Members == own.Members && b.Notes == own.Notes {
		return
	}
	quiet := now.Sub(x.lastChange) >= beatInterval
	if quiet && now.Sub(x.lastSync) >= syncInterval {
		x.lastSync = now
		x.sync(e.Host)
	}
}

// merge applies updates and notes and queues those that are new for the
// neighbours. An update that a member is dead only makes it a suspect: each host
// declares deaths itself, after suspicionTimeout. The update may stem from a
// partition of the network, and may have been delayed on a link until long after
// it was true.
func (x *Exchange) merge(updates []Update, notes []Note) {
	now := x.Clock.Now()
	changed := false
	for _, u := range updates {
		if e := x.table.entries[u.Host.Name]; u.State == Dead && e != nil && e.isMember() {
			u.State = Suspect
		}
		if !x.table.apply(u, now) {
			continue
		}
		changed = true
		if u.State == Left {
			x.Caller.Disconnect(u.Host.Addr)
		}
		x.queueUpdate(x.table.entries[u.Host.Name], u)
	}
	if changed {
		x.publish()
	}
	for _, n := range notes {
		if !x.notes.add(n, now) {
			continue
		}
		x.pending.Notes = append(x.pending.Notes, n)
		if f := x.handlers[n.Kind]; f != nil {
			f(n)
		}
	}
	x.schedulePush(now)
}

// markDead applies the updates of suspects that did not refute in time.
func (x *Exchange) markDead(expired []Update) {
	for _, u := range expired {
		x.table.apply(u, x.Clock.Now())
		x.Caller.Disconnect(u.Host.Addr)
	}
	if len(expired) > 0 {
		x.publish()
	}
}

// queueUpdate queues the state of the host after u. If u was against this host,
// that is the refutation.
func (x *Exchange) queueUpdate(e *entry, u Update) {
	if e != nil {
		u = e.Update
	}
	x.pending.Updates = append(x.pending.Updates, u)
}

func (x *Exchange) schedulePush(now time.Time) {
	if len(x.pending.Updates) == 0 && len(x.pending.Notes) == 0 {
		return
	}
	x.lastChange = now
	if x.pushTimer == nil {
		x.pushTimer, _ = x.Clock.After(pushDelay)
	}
}

// push sends the pending updates and notes to the neighbours.
func (x *Exchange) push() {
	x.pushTimer = nil
	msg := x.pending
	x.pending = Push{}
	for _, h := range x.neighbours {
		go x.sendPush(h, msg)
	}
}
