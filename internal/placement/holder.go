package placement

import (
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
)

// serviceName is the name of the holder among the RPC services of a host.
const serviceName = "Placement"

// keepInterval is the time between two looks at which targets are gone.
const keepInterval = 10 * time.Second

// Holder keeps the boards of the services that this host holds. Exported fields
// are set before Register.
type Holder struct {
	Clock   *clock.Service
	Catalog func() *catalog.Snapshot

	mu     sync.Mutex
	boards map[string]*Board
	kept   time.Time
}

// Register adds the holder's RPC service.
func (h *Holder) Register(s *rpc.Server) error { return s.RegisterName(serviceName, &Service{h}) }

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
	s.holder.tell(report)
	return nil
}

func (h *Holder) choose(w *Work) Choice {
	targets := h.Catalog().ActiveTargets(w.Service)
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.boards == nil {
		h.boards = map[string]*Board{}
	}
	b := h.boards[w.Service]
	if b == nil {
		b = NewBoard()
		h.boards[w.Service] = b
	}
	if now.Sub(h.kept) > keepInterval {
		h.kept = now
		b.Keep(targets)
	}
	return b.Choose(w, targets, now)
}

func (h *Holder) tell(report *Report) {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.boards {
		b.Take(report, now)
	}
}
