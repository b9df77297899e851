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

// Times of the words on leaving targets. From the host list's word to the last
// new work passes at most listPeriod, listTimeout, the way of a note and
// connectTimeout.
const (
	listPeriod  = time.Second
	listTimeout = time.Second
	// firstWord is how long a starting host waits for its first word.
	syncTimeout = 2 * time.Second
	// noteMemory is how long a note on a leaving target is passed on.
	noteLifetime = time.Hour
	peerTimeout  = 500 * time.Millisecond
	// maxPeersAsked bounds the peers that a starting host asks in one round.
	maxPeersAsked = 3
)

// Run reads the host list until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.HostList == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticks := r.Clock.Subscribe(ctx, listPeriod)
	begun, asked := r.Clock.Now(), false
	for {
		if r.paused(r.Clock.Now()) {
			begun, asked = r.Clock.Now(), false
		}
		listed := r.readList(ctx)
		asked = asked || r.askPeers(ctx)
		if now := r.Clock.Now(); listed || asked || now.Sub(begun) >= syncTimeout {
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

// paused reports whether the last round was so long ago that the host must have
// been paused.
func (r *Registry) paused(now time.Time) bool {
	at := r.lastSync.Load()
	return at != nil && now.Sub(*at) > maxPause
}

// hear lets the set be built, once there was a first word or none in time.
func (r *Registry) markSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced {
		r.synced = true
		r.rebuild()
	}
}

// askPeers asks some peers what they know to be leaving, and reports whether
// one answered. A starting host asks until then.
func (r *Registry) askPeers(ctx context.Context) bool {
	tries := 0
	for _, h := range r.Notes.Members().Hosts {
		if h.Name == r.Self || tries == maxPeersAsked {
			continue
		}
		tries++
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply := &LeftReply{}
		err := r.Peers.Call(ctx, h.Addr, serviceName+".Left", &Nothing{}, reply)
		cancel()
		if err == nil {
			r.mergeLeaving(reply.Lives)
			return true
		}
	}
	return false
}

// readList reads the host list and reports whether it could.
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

// sameList reports whether a and b are the very same list, which a HostList
// returns while nothing has changed.
func sameList(a, b []platform.HostEntry) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// takeList merges the host list and returns the lives that are newly known to
// be leaving.
func (r *Registry) mergeList(entries []platform.HostEntry) []Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []Life
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
			// An old word: leaving is for good.
		case e.State == platform.Leaving:
			r.markLeaving(l)
			fresh = append(fresh, l)
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
	return fresh
}

func (r *Registry) setCurrent(l Life) {
	if r.incarnations == nil {
		r.incarnations = map[string]string{}
	}
	r.incarnations[l.Target] = l.Incarnation
}

// leave marks l as leaving; r.mu is held. A word on a life that was never
// heard of is taken as the present one.
func (r *Registry) markLeaving(l Life) {
	if r.leaving == nil {
		r.leaving, _ = simplelru.NewLRU[Life, time.Time](maxLeaving, nil)
	}
	r.leaving.Add(l, r.Clock.Now())
	r.setCurrent(l)
}

// forget drops the incarnations of targets that are neither listed nor
// declared; r.mu is held.
func (r *Registry) pruneIncarnations(listed map[string]bool) {
	for name := range r.incarnations {
		if !listed[name] && (r.view == nil || r.view.Targets[name] == nil) {
			delete(r.incarnations, name)
		}
	}
}

// spread tells the peers that l is leaving.
func (r *Registry) spreadNote(l Life) {
	data, err := json.Marshal(&l)
	if err != nil || r.Notes == nil {
		return
	}
	r.Notes.Spread(peer.Note{Kind: peer.LeavingNote, Data: data, Expires: r.Clock.Now().Add(noteLifetime)})
}

func (r *Registry) handleNote(n peer.Note) {
	var l Life
	if json.Unmarshal(n.Data, &l) == nil {
		r.mergeLeaving([]Life{l})
	}
}

// takeLeft merges words of peers. A word on a life that this host hasn't heard
// of takes the target out until the host list names another life.
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

// serviceName is the name of the RPC service.
const serviceName = "Targets"

// Service is the RPC service of a Registry.
type Service struct{ registry *Registry }

// Nothing is an argument without content.
type Nothing struct{}

// LeftReply lists the lives that are leaving.
type LeftReply struct {
	Lives []Life
}

// Left tells a starting host what is leaving.
func (s *Service) Left(_ *Nothing, reply *LeftReply) error {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving != nil {
		reply.Lives = r.leaving.Keys()
	}
	return nil
}

// Register subscribes r to the notes of peers and offers its service to them.
func (r *Registry) Register(s *rpc.Server) error {
	r.Notes.OnNote(peer.LeavingNote, r.handleNote)
	return s.RegisterName(serviceName, &Service{registry: r})
}
