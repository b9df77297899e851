package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Names of the metrics of evacuations.
const (
	evacuatedGauge = "Evacuations"
	stoppedCounter = "Sends.Stopped"
)

// operatorWarnings holds which warnings about the operators' records were logged, so that
// each is logged once. The zero value is ready for use.
type operatorWarnings struct {
	mu sync.Mutex
	// domains holds the evacuated failure domains that nothing names, with the positions
	// of their records.
	domains map[string]catalog.Position
	// version is that of the configuration whose home regions were checked last.
	version int64
}

// warnOfOperatorRecords logs evacuations of unknown failure domains and home regions that no
// failure domain is in. They stay in force, since a target may register later.
func (h *Host) warnOfOperatorRecords(s *catalog.Snapshot) {
	if s.Table == nil || s.Targets == nil {
		return
	}
	h.warnings.mu.Lock()
	defer h.warnings.mu.Unlock()
	h.warnOfDomains(s)
	if s.Table.Version > h.warnings.version {
		h.warnings.version = s.Table.Version
		h.warnOfRegions(s.Table)
	}
}

// warnOfDomains logs the evacuations of failure domains that neither the settings nor
// a target names; the mutex of h.warnings is held.
func (h *Host) warnOfDomains(s *catalog.Snapshot) {
	for domain, at := range s.Evacuated {
		if known, warned := h.warnings.domains[domain]; warned && known == at || h.namesDomain(s, domain) {
			continue
		}
		if h.warnings.domains == nil {
			h.warnings.domains = map[string]catalog.Position{}
		}
		h.warnings.domains[domain] = at
		h.Log.Warn("evacuated failure domain is unknown", zap.String("Domain", domain), zap.Int64("Offset", int64(at.Offset)))
	}
}

// namesDomain reports whether the settings or a registered target names domain.
func (h *Host) namesDomain(s *catalog.Snapshot, domain string) bool {
	if _, known := h.regions()[domain]; known || domain == h.Settings.Domain {
		return true
	}
	for _, targets := range s.Targets {
		if slices.ContainsFunc(targets, func(t *catalog.Target) bool { return t.Domain == domain }) {
			return true
		}
	}
	return false
}

// warnOfRegions logs the home regions in t that no failure domain of the settings is in.
func (h *Host) warnOfRegions(t *catalog.Table) {
	for _, r := range t.Routes {
		h.warnOfUnknownRegions(t, r.Regions, zap.String("Route", r.Name))
	}
	for _, w := range t.Workspaces {
		h.warnOfUnknownRegions(t, w.Regions, zap.String("Workspace", w.Name))
	}
}

func (h *Host) warnOfUnknownRegions(t *catalog.Table, regions []string, owner zap.Field) {
	for _, region := range regions {
		if len(h.domainsIn([]string{region})) == 0 {
			h.Log.Warn("home region is unknown", zap.String("Region", region), owner, zap.Int64("Version", t.Version))
		}
	}
}

// regions returns the region of each failure domain, as in the settings in force.
func (h *Host) regions() map[string]string {
	if reloaded := h.reloadedRegions.Load(); reloaded != nil {
		return *reloaded
	}
	return h.Settings.Regions
}

// domainsIn returns the failure domains in the given regions, sorted.
func (h *Host) domainsIn(regions []string) []string {
	var out []string
	for domain, region := range h.regions() {
		if slices.Contains(regions, region) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// restrict sets the failure domains to which the home regions of the route and of the
// workspace restrict q. Both restrictions apply. It refuses q if none is left.
func (h *Host) restrict(q *request, workspace *catalog.Workspace) error {
	homes := [][]string{q.route.Regions}
	if workspace != nil {
		homes = append(homes, workspace.Regions)
	}
	for _, regions := range homes {
		if len(regions) == 0 {
			continue
		}
		domains := h.domainsIn(regions)
		if len(q.domains) > 0 {
			domains = slices.DeleteFunc(domains, func(d string) bool { return !slices.Contains(q.domains, d) })
		}
		if len(domains) == 0 {
			return retryLater(result.NoTarget, noTargetRetry, "no failure domain is in the home regions of the route and the workspace")
		}
		q.domains = domains
	}
	return nil
}

// activeTargets returns the targets of service that may get q or its pieces.
func (h *Host) activeTargets(q *request, service string) []*catalog.Target {
	return h.Follower.Snapshot().ActiveTargetsIn(service, q.domains)
}

// checkBarred refuses a request if evacuations or home regions leave no target to a
// stage that it needs, or to its service, before any stage runs.
func (p *plan) checkBarred() error {
	s := p.h.Follower.Snapshot()
	for i, stage := range p.q.route.Stages {
		if p.pieceCount(i) > 0 && s.Bars(stage.Service, p.q.domains) {
			return retryLater(result.NoTarget, noTargetRetry, "every target for stages of service %s is evacuated or outside the home regions", stage.Service)
		}
	}
	if s.Bars(p.q.service, p.q.domains) {
		return retryLater(result.NoTarget, noTargetRetry, "every target for service %s is evacuated or outside the home regions", p.q.service)
	}
	return nil
}

// errTurnLost means that a request was not sent, since its turn at a cold target had
// ended when the connection was ready.
var errTurnLost = errors.New("turn at a cold target is lost")

// permit returns an error if the request may no longer be sent to t. It is called right
// before the first byte is sent.
func (s *sender) permit(t *catalog.Target) error {
	if err := s.h.Follower.Snapshot().CheckSend(t); err != nil {
		return err
	}
	if !s.turnHolds(t) {
		return errTurnLost
	}
	return nil
}

// recordStopped records that the check before the first byte stopped the send to t. The
// send counts neither as one of the request nor against the target.
func (s *sender) recordStopped(t *catalog.Target, err error) {
	s.q.sends--
	if errors.Is(err, errTurnLost) {
		s.lostTurns++
		s.lostTurnsAt = append(s.lostTurnsAt, t.ID)
	}
	s.h.Balancer.End(t, fleet.Returned, 0)
	s.lease.End(placement.Abandoned)
	metrics.GetOrRegisterCounter(stoppedCounter, s.h.Metrics).Inc(1)
	s.h.Log.Info("send stopped before its first byte", zap.String("RequestID", s.q.ID), zap.String("Target", t.ID), zap.String("Domain", t.Domain), journal.Error(err))
}

// maxLostTurns bounds the turns of a request that end before its first byte is sent. If
// connections to a target always take longer than a turn lasts, the request would
// otherwise be held until its deadline and then refused.
const maxLostTurns = 3

// forgetLostTurns makes the targets at which the request lost its turn available again. It
// is called when there is no other target, and reports whether there is one now.
func (s *sender) forgetLostTurns(ctx context.Context) bool {
	if len(s.lostTurnsAt) == 0 || s.lostTurns >= maxLostTurns || ctx.Err() != nil {
		return false
	}
	for _, id := range s.lostTurnsAt {
		delete(s.tried, id)
	}
	s.lostTurnsAt = nil
	return true
}

// isStopped reports whether err is that of a send that the check before the first byte
// stopped.
func isStopped(err error) bool {
	return errors.Is(err, catalog.ErrEvacuated) || errors.Is(err, errTurnLost)
}
