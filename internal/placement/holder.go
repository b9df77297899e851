package placement

import (
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
)

// serviceName is the name of the holder among the RPC services of a host.
const rpcName = "Placement"

// keepInterval is the time between two looks at which targets are gone.
const pruneInterval = 10 * time.Second

// Holder keeps the boards of the services that this host holds. Exported fields
// are set before Register.
type Holder struct {
	Clock   *clock.Service
	Catalog func() *catalog.Snapshot

	mu         sync.Mutex
	tables     map[string]*LoadTable
	lastPruned time.Time
}

// Register adds the holder's RPC service.
func (h *Holder) Register(s *rpc.Server) error { return s.RegisterName(rpcName, &Service{h}) }

// Service is the RPC service of a Holder.
type Service struct{ holder *Holder }

// Choose answers where w should go.
func (s *Service) Choose(w *Work, reply *Choice) error {
	*reply = s.holder.choose(w)
	return nil
}

// Empty is an empty reply.
type Empty struct{}

// Tell takes news.
func (s *Service) Tell(report *Report, _ *Empty) error {
	s.holder.apply(report)
	return nil
}

func (h *Holder) choose(w *Work) Choice {
	targets := h.Catalog().TargetsOf(w.Service)
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tables == nil {
		h.tables = map[string]*LoadTable{}
	}
	lt := h.tables[w.Service]
	if lt == nil {
		lt = NewLoadTable()
		h.tables[w.Service] = lt
	}
	if now.Sub(h.lastPruned) > pruneInterval {
		h.lastPruned = now
		lt.Prune(targets)
	}
	return lt.Choose(w, targets, now)
}

func (h *Holder) apply(report *Report) {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, lt := range h.tables {
		lt.Apply(report, now)
	}
}
