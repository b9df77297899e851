package crash

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// Permit is the permission to run a body once at one target.
type Permit struct {
	run Run
	// beganAt is the time of the permission.
	beganAt time.Time
	// reported reports whether the run was reported to an arbiter. It is guarded
	// by the table's mu.
	reported bool
}

// newPermit returns a permit for run and the number of breaks of its body. If
// there are none, the run may begin at once.
func (t *Table) newPermit(run Run) (*Permit, int) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Permit{run: run, beganAt: now}
	if b := t.find(run.Digest, now); b != nil && len(b.breaks) > 0 {
		p.reported = true
		return p, len(b.breaks)
	}
	if t.active == nil {
		t.active = map[string]map[*Permit]bool{}
	}
	if t.active[run.Digest] == nil {
		t.active[run.Digest] = map[*Permit]bool{}
	}
	t.active[run.Digest][p] = true
	return p, 0
}

// releasePermit ends p and reports whether its run was reported to an arbiter.
func (t *Table) releasePermit(p *Permit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active[p.run.Digest], p)
	if len(t.active[p.run.Digest]) == 0 {
		delete(t.active, p.run.Digest)
	}
	return p.reported
}

// reportRuns reports to the arbiter the runs of a body that began on this host
// before the body became a suspect.
func (t *Table) reportRuns(ctx context.Context, digest string) {
	t.mu.Lock()
	var runs []Run
	for p := range t.active[digest] {
		if !p.reported {
			p.reported = true
			runs = append(runs, p.run)
		}
	}
	t.mu.Unlock()
	for _, r := range runs {
		r.Begun = true
		t.askArbiter(ctx, r)
	}
}

// Begin asks for permission to run a body at a target. A suspect may have to
// wait until another run has ended, at most until run.Until or the end of ctx.
func (t *Table) Begin(ctx context.Context, run Run) (*Permit, error) {
	p, breaks := t.newPermit(run)
	switch {
	case breaks == 0:
		return p, nil
	case breaks >= MaxTargets:
		return nil, ErrBlocked
	}
	err := t.arbitrate(ctx, run)
	p.beganAt = t.Clock.Now()
	return p, err
}

// End releases p and must be called once; broke reports whether the connection to
// the target broke during the run. After a break, End returns once the members
// are notified or maxNotifyTime has passed.
func (t *Table) End(ctx context.Context, p *Permit, broke bool) {
	reported := t.releasePermit(p)
	if broke {
		w := Word{BreakID: uuid.NewString(), Digest: p.run.Digest, Target: p.run.Target, BeganAt: p.beganAt, At: t.Clock.Now()}
		t.apply(w)
		t.spreadNote(w)
		t.reportRuns(ctx, w.Digest)
		t.notifyMembers(context.WithoutCancel(ctx), w)
	}
	if reported {
		t.reportEnd(p.run)
	}
}
