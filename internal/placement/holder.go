package placement

import (
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// rpcName is the name of the holder's RPC service.
const rpcName = "Placement"

// pruneInterval is the least time between two removals of a table's targets that
// are gone.
const pruneInterval = 10 * time.Second

// Holder keeps the load tables of the services that this host holds. Exported
// fields are set before Register.
type Holder struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Catalog func() *catalog.Snapshot
	// Quotas holds the turns at targets that have named a limit.
	Quotas Quotas
	// Policy is PrefillPolicy if empty.
	Policy Policy

	mu     sync.Mutex
	tables map[string]*LoadTable
	// lastPruned is the time at which each table was last pruned.
	lastPruned map[string]time.Time
}

// Register adds the holder's RPC service to s.
func (h *Holder) Register(s *rpc.Server) error { return s.RegisterName(rpcName, &Service{h}) }

// Service is the RPC service of a Holder.
type Service struct{ holder *Holder }

// Choose replies with the target that w should go to.
func (s *Service) Choose(w *Work, reply *Choice) error {
	*reply = s.holder.choose(w)
	return nil
}

// Empty is an empty reply.
type Empty struct{}

// Tell applies a host's report.
func (s *Service) Tell(report *Report, _ *Empty) error {
	s.holder.apply(report)
	return nil
}

func (h *Holder) choose(w *Work) Choice {
	targets := h.Catalog().ActiveTargets(w.Service)
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	lt := h.table(w.Service)
	if now.Sub(h.lastPruned[w.Service]) > pruneInterval {
		h.lastPruned[w.Service] = now
		lt.Prune(targets)
	}
	return lt.Choose(w, targets, now)
}

// table returns the load table of a service; the holder's mu is held.
func (h *Holder) table(service string) *LoadTable {
	if h.tables == nil {
		h.tables, h.lastPruned = map[string]*LoadTable{}, map[string]time.Time{}
	}
	lt := h.tables[service]
	if lt == nil {
		lt = NewLoadTable(h.Quotas)
		if h.Policy == WorkPolicy {
			lt.work = newWorkState()
		}
		h.tables[service] = lt
	}
	return lt
}

func (h *Holder) apply(report *Report) {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range report.Moved {
		h.addMoved(&report.Moved[i], now)
	}
	for service, lt := range h.tables {
		if n := lt.Apply(report, now); n > 0 {
			h.Log.Info("load table corrected by a host's list", zap.String("Service", service), zap.String("Peer", report.Host), zap.Int("Requests", n))
		}
	}
}

// addMoved counts a request that another holder has chosen a target for, if the service
// still has that target.
func (h *Holder) addMoved(m *MovedRequest, now time.Time) {
	if h.Policy != WorkPolicy {
		return
	}
	if t := catalog.FindTarget(h.Catalog().Targets[m.Work.Service], m.Choice.Target); t != nil {
		h.table(m.Work.Service).addMoved(m, t, now)
	}
}
