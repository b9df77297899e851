package crash

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// rpcName is the name of the RPC service.
const rpcName = "Crash"

// Timeouts and bounds of calls to peers.
const (
	notifyTimeout         = 500 * time.Millisecond
	maxNotifyTime         = 2 * notifyTimeout
	maxConcurrentNotifies = 64 // members notified at the same time
	askTimeout            = 300 * time.Millisecond
)

// Word is an update that hosts send each other: a body broke a target or, without
// a BreakID, the body ran to completion.
type Word struct {
	// BreakID identifies the break, so that a break received twice counts once.
	BreakID string
	Digest  string
	Target  string
	// BeganAt is the time at which the run that broke began, At that of the event.
	BeganAt time.Time
	At      time.Time
	// Crash and Clearing are set if the update is about suspects. Digest is empty then.
	Crash    *Crash
	Clearing *Clearing
}

// Empty is an empty reply.
type Empty struct{}

// Service is the RPC service of a Table.
type Service struct{ table *Table }

// Tell applies an update from a peer.
func (s *Service) Tell(w *Word, _ *Empty) error {
	s.table.apply(*w)
	if w.BreakID != "" {
		s.table.reportRuns(context.Background(), w.Digest)
	}
	return nil
}

// Begin decides whether the run of a suspect may begin.
func (s *Service) Begin(r *Run, reply *Reply) error {
	*reply = s.table.decide(*r)
	return nil
}

// End removes a run that Begin allowed.
func (s *Service) End(r *Run, _ *Empty) error {
	s.table.arbiter.end(*r)
	return nil
}

// notifyMembers sends w to every other member and waits at most maxNotifyTime. A call
// that fails is repeated, since its connection may have gone silent for good.
func (t *Table) notifyMembers(ctx context.Context, w Word) {
	ctx, cancel := context.WithTimeout(ctx, maxNotifyTime)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentNotifies)
	for _, h := range t.Exchange.Members().Hosts {
		if h.Name == t.Self {
			continue
		}
		g.Go(func() error {
			err := t.notify(ctx, h, w)
			if err != nil && ctx.Err() == nil {
				err = t.notify(ctx, h, w)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Log.Info("cannot tell a member of a crash", zap.String("Target", w.Target), journal.Error(err))
	}
}

// notify sends w to h.
func (t *Table) notify(ctx context.Context, h peer.Host, w Word) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return t.Peers.CallOrDisconnect(ctx, h.Addr, rpcName+".Tell", &w, &Empty{})
}

// spreadNote spreads w as a note, for the members that notifyMembers doesn't reach. It
// comes before notifyMembers, which waits long for a member that doesn't respond: if this
// host is killed meanwhile, the others pass the note on.
func (t *Table) spreadNote(w Word) {
	data, err := json.Marshal(&w)
	if err != nil {
		return
	}
	t.Exchange.Spread(peer.Note{Kind: peer.CrashNote, Data: data, Expires: t.Clock.Now().Add(bodyLifetime)})
}

func (t *Table) handleNote(n peer.Note) {
	var w Word
	if json.Unmarshal(n.Data, &w) == nil {
		t.apply(w)
	}
}

// Run is one run of a body at a target.
type Run struct {
	Digest    string
	Target    string
	AttemptID string
	// Until is the time by which the run has certainly ended.
	Until time.Time
	// Begun reports whether the run began before the body became a suspect.
	Begun bool
	// Share allows the run while another suspect runs at the target.
	Share bool
}

// Answer is an arbiter's decision on a run.
type Answer int

const (
	// Allowed means that the run may begin.
	Allowed Answer = iota
	// Busy means that the body already runs or that the arbiter is full.
	Busy
	// TargetBusy means that another suspect runs at the target.
	TargetBusy
	// Blocked means that the body must not run again.
	Blocked
)

// Reply carries an Answer.
type Reply struct {
	Answer Answer
}

// suspectsKey is the key whose holder is the arbiter.
const suspectsKey = "Crash/Suspects"

// Times and bounds of arbitration.
const (
	askInterval = 25 * time.Millisecond
	// shareDivisor is the divisor of the time left that gives the time after which
	// a suspect may run at the same target as another one.
	shareDivisor = 8
	maxRuns      = 8192
	// maxArbiters is the number of hosts that are asked in turn. Two hosts that each
	// decide for themselves allow two runs of a body at the same time.
	maxArbiters = 3
)

// arbitrate waits for permission to run a suspect.
func (t *Table) arbitrate(ctx context.Context, r Run) error {
	start := t.Clock.Now()
	shareDelay := r.Until.Sub(start) / shareDivisor
	for {
		switch a := t.askArbiter(ctx, r); {
		case a == Allowed:
			return nil
		case a == Blocked:
			return ErrBlocked
		}
		r.Share = t.Clock.Since(start) >= shareDelay
		if !t.Clock.Now().Before(r.Until) {
			return Error.New("another run of the body did not end in time")
		}
		if err := t.Clock.Sleep(ctx, askInterval); err != nil {
			return Error.Wrap(err)
		}
	}
}

// arbiters returns the hosts to ask, in order: the arbiter, and those that take its place
// for hosts that can't reach it.
func (t *Table) arbiters() []peer.Host {
	var out []peer.Host
	members := t.Exchange.Members()
	for range min(maxArbiters, len(members.Hosts)) {
		h := members.Holder(suspectsKey)
		out = append(out, h)
		members = members.Without(h.Name)
	}
	return out
}

// askArbiter asks the arbiter about r, or the host that takes its place, or decides
// locally if none can be reached.
func (t *Table) askArbiter(ctx context.Context, r Run) Answer {
	for _, h := range t.arbiters() {
		if h.Name == t.Self {
			break
		}
		if answer, err := t.ask(ctx, h, r); err == nil {
			return answer
		}
	}
	return t.decide(r).Answer
}

// ask asks h about r.
func (t *Table) ask(ctx context.Context, h peer.Host, r Run) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply Reply
	if err := t.Peers.Call(ctx, h.Addr, rpcName+".Begin", &r, &reply); err != nil {
		return Busy, err
	}
	return reply.Answer, nil
}

// reportEnd notifies the arbiters, in the background, that r has ended.
func (t *Table) reportEnd(r Run) {
	t.arbiter.end(r)
	for _, h := range t.arbiters() {
		if h.Name == t.Self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			t.Peers.Call(ctx, h.Addr, rpcName+".End", &r, &Empty{})
		}()
	}
}

// decide returns the arbiter's decision on r.
func (t *Table) decide(r Run) Reply {
	if t.Blocked(r.Digest) && !r.Begun {
		return Reply{Blocked}
	}
	return Reply{t.arbiter.begin(r, t.Clock.Now())}
}

// arbiter holds the runs of suspects in progress. When it is full, further
// suspects wait.
type arbiter struct {
	mu   sync.Mutex
	runs map[string]Run // by attempt ID
}

func (a *arbiter) begin(r Run, now time.Time) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = map[string]Run{}
	}
	answer := Allowed
	for id, other := range a.runs {
		switch {
		case !now.Before(other.Until):
			delete(a.runs, id)
		case id == r.AttemptID, r.Begun:
		case other.Digest == r.Digest:
			return Busy
		case other.Target == r.Target && !r.Share:
			answer = TargetBusy
		}
	}
	if len(a.runs) >= maxRuns {
		return Busy
	}
	if answer == Allowed {
		a.runs[r.AttemptID] = r
	}
	return answer
}

func (a *arbiter) end(r Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, r.AttemptID)
}
