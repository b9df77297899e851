package target

import (
	"context"
	"encoding/json"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Times and bounds for reports of leaving targets. The time from the host list's
// report to the last new work is at most the sum of listPeriod, listTimeout, the
// delivery time of a note and connectTimeout.
const (
	listPeriod  = time.Second
	listTimeout = time.Second
	// syncTimeout is how long a starting host waits for its first report.
	syncTimeout = 2 * time.Second
	// noteLifetime is how long a note about a leaving target is spread.
	noteLifetime = time.Hour
	peerTimeout  = 500 * time.Millisecond
	// maxPeersAsked bounds the peers that a starting host asks in one round.
	maxPeersAsked = 3
)

// Run polls the host list until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.HostList == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticks := r.Clock.Subscribe(ctx, listPeriod)
	start, answered := r.Clock.Now(), false
	for {
		if r.paused(r.Clock.Now()) {
			start, answered = r.Clock.Now(), false
		}
		listed := r.readList(ctx)
		answered = answered || r.askPeers(ctx)
		if now := r.Clock.Now(); listed || answered || now.Sub(start) >= syncTimeout {
			r.markSynced()
			r.lastSync.Store(&now)
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// paused reports whether the last round of Run was so long ago that the host must
// have been paused.
func (r *Registry) paused(now time.Time) bool {
	at := r.lastSync.Load()
	return at != nil && now.Sub(*at) > maxPause
}

// markSynced allows the set to be built: the first report has arrived, or none
// did in time.
func (r *Registry) markSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		r.synced = true
		r.rebuild()
	}
}

// askPeers asks some peers which targets are leaving and reports whether one
// answered. A starting host asks until one does.
func (r *Registry) askPeers(ctx context.Context) bool {
	tries := 0
	for _, h := range r.Exchange.Members().Hosts {
		if h.Name == r.Self || tries == maxPeersAsked {
			continue
		}
		tries++
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply := &LeftReply{}
		err := r.Peers.Call(ctx, h.Addr, rpcName+".Left", &Nothing{}, reply)
		cancel()
		if err == nil {
			r.mergeLeaving(reply.Lives)
			return true
		}
	}
	return false
}

// readList reads and merges the host list, and reports whether it could be read.
func (r *Registry) readList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := r.HostList.Hosts(ctx)
	if err != nil {
		return false
	}
	if sameList(entries, r.lastList) {
		return true
	}
	r.lastList = entries
	for _, l := range r.mergeList(entries) {
		r.spreadNote(l)
	}
	return true
}

// sameList reports whether a and b share their elements, as the lists that a
// HostList returns do while nothing has changed.
func sameList(a, b []platform.HostEntry) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// mergeList merges the host list and returns the incarnations that are newly
// known to be leaving.
func (r *Registry) mergeList(entries []platform.HostEntry) []Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newlyLeaving []Life
	changed := false
	listed := map[string]bool{}
	for _, e := range entries {
		if e.Role != "" {
			continue
		}
		listed[e.Name] = true
		l := Life{e.Name, e.Incarnation}
		switch {
		case r.isLeaving(l):
			// An old report: leaving is final for an incarnation.
		case e.State == platform.Leaving:
			r.markLeaving(l)
			newlyLeaving = append(newlyLeaving, l)
			changed = true
		case r.incarnations[e.Name] != e.Incarnation:
			r.setCurrent(l)
			changed = true
		}
	}
	r.pruneIncarnations(listed)
	if changed {
		r.rebuild()
	}
	return newlyLeaving
}

func (r *Registry) setCurrent(l Life) {
	if r.incarnations == nil {
		r.incarnations = map[string]string{}
	}
	r.incarnations[l.Target] = l.Incarnation
}

// markLeaving marks l as leaving. An incarnation that was not known before is
// taken to be the current one. The caller holds r.mu.
func (r *Registry) markLeaving(l Life) {
	if r.leaving == nil {
		r.leaving, _ = simplelru.NewLRU[Life, time.Time](maxLeaving, nil)
	}
	r.leaving.Add(l, r.Clock.Now())
	r.setCurrent(l)
}

// pruneIncarnations removes the incarnations of targets that are neither listed
// nor declared. The caller holds r.mu.
func (r *Registry) pruneIncarnations(listed map[string]bool) {
	for name := range r.incarnations {
		if !listed[name] && (r.view == nil || r.view.Targets[name] == nil) {
			delete(r.incarnations, name)
		}
	}
}

// spreadNote spreads a note to the peers that l is leaving.
func (r *Registry) spreadNote(l Life) {
	data, err := json.Marshal(&l)
	if err != nil || r.Exchange == nil {
		return
	}
	r.Exchange.Spread(peer.Note{Kind: peer.LeavingNote, Data: data, Expires: r.Clock.Now().Add(noteLifetime)})
}

func (r *Registry) handleNote(n peer.Note) {
	var l Life
	if json.Unmarshal(n.Data, &l) == nil {
		r.mergeLeaving([]Life{l})
	}
}

// mergeLeaving merges reports from peers. A report of an incarnation that this
// host doesn't know makes the target unusable until the host list names another
// incarnation.
func (r *Registry) mergeLeaving(lives []Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range lives {
		if !r.isLeaving(l) {
			r.markLeaving(l)
		}
	}
	r.rebuild()
}

// rpcName is the name of the RPC service.
const rpcName = "Targets"

// Service is the RPC service of a Registry.
type Service struct{ registry *Registry }

// Nothing is an empty argument.
type Nothing struct{}

// LeftReply lists the incarnations that are leaving.
type LeftReply struct {
	Lives []Life
}

// Left returns to a starting host the incarnations that are leaving.
func (s *Service) Left(_ *Nothing, reply *LeftReply) error {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving != nil {
		reply.Lives = r.leaving.Keys()
	}
	return nil
}

// Register subscribes r to notes from peers and registers its RPC service on s.
func (r *Registry) Register(s *rpc.Server) error {
	r.Exchange.OnNote(peer.LeavingNote, r.handleNote)
	return s.RegisterName(rpcName, &Service{registry: r})
}
