package order

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// Intervals and limits of a Reconciler.
const (
	// reconcilePeriod is the time between two comparisons of a target's report
	// with the declaration.
	reconcilePeriod = 5 * time.Second
	// maxConcurrentReports limits the reports that are fetched concurrently.
	maxConcurrentReports = 16
	// DefaultMaxLoads is the maximum number of models that are loaded from the
	// weight store concurrently, over all hosts together.
	DefaultMaxLoads = 32
	// loadTimeout is the time after which a load that no report has confirmed is
	// considered failed and is ordered again.
	loadTimeout = 10 * time.Minute
	// reportTimeout limits the time to fetch a report.
	reportTimeout = 2 * time.Second
)

// Leases returns the leases that this host holds. *lease.Manager implements it.
type Leases interface {
	Lookup(shard int) *lease.Lease
	Held() int
}

var _ Leases = (*lease.Manager)(nil)

// Stats counts orders by result.
type Stats struct {
	Taken, Uncertain, Superseded metrics.Counter
}

// Reconciler orders targets to load their declared models. It covers the targets
// of the shards whose leases this host holds. Exported fields must be set before
// Run.
type Reconciler struct {
	Clock  *clock.Service
	Leases Leases
	Sender *Sender
	HTTP   *http.Client
	// View returns the declaration in force, or nil.
	View func() *declaration.View
	// MaxLoads limits the loads in progress over all hosts; zero means
	// DefaultMaxLoads. The share of a host is proportional to its leases, but at
	// least one.
	MaxLoads int
	Stats    Stats

	// loads maps each load in progress to the time of its order.
	loads map[loadKey]time.Time
}

type loadKey struct {
	target, model string
}

// Run reconciles the targets periodically until ctx ends.
func (rc *Reconciler) Run(ctx context.Context) error {
	rc.loads = map[loadKey]time.Time{}
	for _, c := range []*metrics.Counter{&rc.Stats.Taken, &rc.Stats.Uncertain, &rc.Stats.Superseded} {
		if *c == nil {
			*c = metrics.NewCounter()
		}
	}
	tick := rc.Clock.Subscribe(ctx, reconcilePeriod)
	for {
		select {
		case <-tick:
			rc.reconcile(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reconcile compares each target of the held shards with its report and orders
// the missing models, within the limit on loads in progress.
func (rc *Reconciler) reconcile(ctx context.Context) {
	v := rc.View()
	if v == nil {
		return
	}
	targets := rc.heldTargets(v)
	reports := rc.fetchReports(ctx, targets)
	rc.forgetLoads(targets, reports)
	for _, t := range targets {
		if r := reports[t.Name]; r != nil {
			rc.orderMissing(ctx, t, r)
		}
	}
}

// heldTargets returns the targets with declared models in the held shards, sorted
// by name.
func (rc *Reconciler) heldTargets(v *declaration.View) []*declaration.Target {
	var out []*declaration.Target
	for _, t := range v.Targets {
		if len(t.Models) > 0 && !t.Leaving && rc.Leases.Lookup(lease.ShardOf(t.Name)) != nil {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// fetchReports returns the reports of targets by name. The report of a target
// that doesn't answer is nil.
func (rc *Reconciler) fetchReports(ctx context.Context, targets []*declaration.Target) map[string]*contract.Report {
	reports := make([]*contract.Report, len(targets))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for i, t := range targets {
		g.Go(func() error {
			reports[i] = rc.fetchReport(ctx, t)
			return nil
		})
	}
	g.Wait()
	out := map[string]*contract.Report{}
	for i, t := range targets {
		out[t.Name] = reports[i]
	}
	return out
}

func (rc *Reconciler) fetchReport(ctx context.Context, t *declaration.Target) *contract.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", t.Addr, contract.ReportPath), nil)
	if err != nil {
		return nil
	}
	resp, err := rc.HTTP.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	r := &contract.Report{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(r) != nil {
		return nil
	}
	return r
}

// forgetLoads removes the loads that a report shows as done, that have taken too
// long, or whose target is no longer in a held shard.
func (rc *Reconciler) forgetLoads(targets []*declaration.Target, reports map[string]*contract.Report) {
	now := rc.Clock.Now()
	held := map[string]bool{}
	for _, t := range targets {
		held[t.Name] = true
	}
	for l, at := range rc.loads {
		r := reports[l.target]
		if !held[l.target] || now.Sub(at) > loadTimeout || (r != nil && slices.Contains(r.Models, l.model)) {
			delete(rc.loads, l)
		}
	}
}

// orderMissing orders the models that one target lacks.
func (rc *Reconciler) orderMissing(ctx context.Context, t *declaration.Target, r *contract.Report) {
	for _, model := range t.Models {
		l := loadKey{t.Name, model}
		if _, loading := rc.loads[l]; loading || slices.Contains(r.Models, model) {
			continue
		}
		held := rc.Leases.Lookup(lease.ShardOf(t.Name))
		if held == nil || len(rc.loads) >= rc.loadLimit() {
			return
		}
		result := rc.Sender.Send(ctx, held, t, contract.Order{Kind: contract.LoadModel, Model: model})
		rc.countResult(result)
		switch result {
		case Taken:
			rc.loads[l] = rc.Clock.Now()
		case Uncertain:
			// The load may be in progress, so it counts against the limit until the
			// next order, which is sent as soon as a later report lacks the model.
			rc.loads[l] = rc.Clock.Now().Add(reconcilePeriod - loadTimeout)
		default:
			return
		}
	}
}

// loadLimit returns this host's share of MaxLoads.
func (rc *Reconciler) loadLimit() int {
	n := rc.MaxLoads
	if n == 0 {
		n = DefaultMaxLoads
	}
	return max(1, n*rc.Leases.Held()/lease.Shards)
}

func (rc *Reconciler) countResult(r Result) {
	switch r {
	case Taken:
		rc.Stats.Taken.Inc(1)
	case Uncertain:
		rc.Stats.Uncertain.Inc(1)
	case Superseded:
		rc.Stats.Superseded.Inc(1)
	}
}
