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

// Times and counts of the exchange.
const (
	// beatInterval is the time between two heartbeats that a host sends, each to
	// the next of its neighbours.
	beatInterval = 500 * time.Millisecond
	// neighbourCount is the number of hosts that a host watches.
	neighbourCount = 8
	// beatTimeout bounds a heartbeat, indirectCount the hosts that are asked to
	// try after a failure.
	beatTimeout    = 500 * time.Millisecond
	indirectProbes = 3
	// suspicionTimeout is the time that a suspected host has to refute.
	suspicionTimeout = 2 * time.Second
	// pushDelay collects news for one push.
	pushDelay = 20 * time.Millisecond
	// retryEvery is the number of beats between two tries to reach a host that is
	// gone or a seed that was never met.
	reconnectEvery = 5
	// joinInterval is the time between two tries to reach all seeds after the
	// start, while none has answered; there are maxJoins.
	joinInterval    = 100 * time.Millisecond
	maxJoinAttempts = 20
	// syncInterval is the least time between two whole exchanges that differing
	// digests cause.
	syncInterval = 5 * time.Second
	syncTimeout  = 5 * time.Second
)

// Exchange keeps the members and spreads notes. Every beatInterval it sends a
// heartbeat to one of a few neighbours; news goes to all neighbours at once;
// heartbeats carry digests, and hosts whose digests differ exchange all they
// know. One control goroutine owns the state; Members is an immutable
// snapshot. Exported fields are set, and OnNote and Register called, before
// Run.
type Exchange struct {
	Self   Host
	Seeds  []Host
	Net    link.Network
	Clock  *clock.Service
	Caller *Caller
	// Discover, unless nil, returns hosts to try when no member can be reached.
	Discover func(ctx context.Context) ([]Host, error)
	// Offset, unless nil, returns the offset of the configuration in force.
	Offset func() int64
	// OnBehind, unless nil, is told of a host that has a later offset in force.
	// It must neither block nor call the Exchange.
	OnNewerOffset func(h Host, offset int64)

	members     atomic.Pointer[Members]
	lastContact atomic.Int64 // time of the last answer of a peer, Unix nanoseconds
	handlers    map[NoteKind]func(Note)

	once     sync.Once
	commands chan func()
	stopped  chan struct{}

	// The rest belongs to the control goroutine.
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
	// ownCaller says that Caller was not set by the owner of the Exchange.
	ownsCaller bool
}

// init makes the channels that calls before Run need.
func (x *Exchange) init() {
	x.once.Do(func() {
		x.commands = make(chan func())
		x.stopped = make(chan struct{})
	})
}

// Register adds the exchange's service to s.
func (x *Exchange) Register(s *rpc.Server) error {
	return s.RegisterName(serviceName, &Service{x: x})
}

// Members returns the hosts that are believed alive.
func (x *Exchange) Members() *Members {
	if m := x.members.Load(); m != nil {
		return m
	}
	return NewMembers([]Host{x.Self})
}

// LastContact returns the time of the last answer of a peer, or the zero time.
func (x *Exchange) LastContact() time.Time {
	if ns := x.lastContact.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// OnNote subscribes f to the notes of one kind. f is called by the control
// goroutine: it must neither block nor call the Exchange.
func (x *Exchange) OnNote(kind NoteKind, f func(Note)) {
	if x.handlers == nil {
		x.handlers = map[NoteKind]func(Note){}
	}
	x.handlers[kind] = f
}

// Spread sends n to every host, this one included. Without an Expires it lives
// for noteLife.
func (x *Exchange) Spread(n Note) {
	n.ID = uuid.NewString()
	if n.Expires.IsZero() {
		n.Expires = x.Clock.Now().Add(noteLifetime)
	}
	x.do(func() { x.merge(nil, []Note{n}) })
}

// noteLife is the life of a note that states none.
const noteLifetime = time.Minute

// Announce sends a heartbeat to every neighbour at once. The host calls it when
// a later configuration is in force, so that hosts which can't reach the log
// get it from those that can without waiting for their turn.
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

// Leave tells the neighbours that this host goes; the members follow without
// the time that a failure takes to be seen. The host must not be used as a
// holder afterwards.
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

// do runs f in the control goroutine and waits for it.
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

// Run keeps the members until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	x.init()
	defer close(x.stopped)
	x.start(ctx)
	if x.ownsCaller {
		defer x.Caller.Close()
	}
	x.join()
	var beat <-chan time.Time
	first, _ := x.Clock.After(x.phase())
	again, _ := x.Clock.After(joinInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-x.commands:
			f()
		case <-first:
			first, beat = nil, x.Clock.Subscribe(ctx, beatInterval)
			x.reconnect()
		case <-again:
			again = nil
			if len(x.neighbours) == 0 && x.joinAttempts < maxJoinAttempts {
				x.join()
				again, _ = x.Clock.After(joinInterval)
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

// phase spreads the beats of many hosts over the interval.
func (x *Exchange) phase() time.Duration {
	return time.Duration(Weight(x.Self.Name, "phase") % uint64(beatInterval))
}

// publish makes the table's members visible and chooses the neighbours anew.
func (x *Exchange) publish() {
	m := x.table.members()
	x.members.Store(m)
	x.neighbours = neighbours(m, x.Self.Name, neighbourCount)
}

// round is the work of one beat.
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

// heard takes the heartbeat of a peer, sent or answered.
func (x *Exchange) handleBeat(b Beat) {
	now := x.Clock.Now()
	x.lastContact.Store(now.UnixNano())
	e := x.table.entries[b.Name]
	if e == nil {
		return
	}
	if b.Incarnation == e.Host.Incarnation && e.State == Suspect && b.Version >= e.Version {
		// The host answers, but it has to refute for the others: tell it.
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

// learn takes news and passes on what was new. That a host is dead each host
// decides for itself, once a suspicion has lasted: the word of another may stem
// from a cut between two parts of the system, and may have waited on a link
// until long after it was true.
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

// bury marks the hosts whose time to refute has passed.
func (x *Exchange) markDead(expired []Update) {
	for _, u := range expired {
		x.table.apply(u, x.Clock.Now())
		x.Caller.Disconnect(u.Host.Addr)
	}
	if len(expired) > 0 {
		x.publish()
	}
}

// queueUpdate queues the row as it stands after u, which is the refutation
// where u spoke against this host.
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

// push sends the news to the neighbours.
func (x *Exchange) push() {
	x.pushTimer = nil
	news := x.pending
	x.pending = Push{}
	for _, h := range x.neighbours {
		go x.sendPush(h, news)
	}
}
