package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// Limits of the document.
const (
	// MaxSections bounds the sections in force.
	MaxSections = 512
	// MaxDocumentBytes bounds the total size of the texts of all sections.
	MaxDocumentBytes = 8 << 20
	// MaxDeadline bounds the deadline of a pipeline and of a request.
	MaxDeadline = 10 * time.Minute

	maxStages     = 16
	maxKeys       = 16
	maxSlots      = 4096
	maxPriority   = 1000
	maxPipelines  = 512
	maxWorkspaces = 8192
	maxPools      = 512
	maxTargets    = 16384
)

// Check reports the problems within s alone.
func (s *Section) Check(r *Reporter) {
	if len(s.Keys) > maxKeys {
		r.Report("Keys", "must be at most %d keys, are %d", maxKeys, len(s.Keys))
	}
	for _, key := range s.Keys {
		if _, err := ParseKey(key); err != nil {
			r.Report("Keys", "%q %v", key, err)
		}
	}
}

// Check reports the problems within p alone.
func (p *Pipeline) Check(r *Reporter) {
	checkName(r, p.Name)
	if p.Deadline <= 0 || time.Duration(p.Deadline) > MaxDeadline {
		r.Report("Deadline", "must be above 0s and at most %v, is %v", MaxDeadline, time.Duration(p.Deadline))
	}
	if p.Objective != 0 && !(p.Objective > 0 && p.Objective < 1) {
		r.Report("Objective", "must lie between 0 and 1, both excluded, such as 0.99; is %v", p.Objective)
	}
	checkPriority(r, "Priority", p.Priority)
	if len(p.Stages) < 1 || len(p.Stages) > maxStages {
		r.Report("Stages", "must be 1 to %d stages, are %d", maxStages, len(p.Stages))
	}
	seen := map[string]bool{}
	for _, s := range p.Stages {
		if seen[s.Name] {
			r.Report("Stages", "two stages are named %q; the names of a pipeline's stages must differ", s.Name)
		}
		seen[s.Name] = true
	}
}

// Check reports the problems within s alone.
func (s *Stage) Check(r *Reporter) { checkName(r, s.Name) }

// Check reports the problems within w alone.
func (w *Workspace) Check(r *Reporter) {
	checkName(r, w.Name)
	digest, err := hex.DecodeString(w.TokenSHA256)
	if w.TokenSHA256 != "" && (err != nil || len(digest) != sha256.Size) {
		r.Report("TokenSHA256", "must be 64 hex digits, the SHA-256 digest of the token")
	}
	if !(w.Share >= 0 && w.Share <= maxShare) {
		r.Report("Share", "must be 0 to %v, is %v", maxShare, w.Share)
	}
	checkPriority(r, "MaxPriority", w.MaxPriority)
}

// maxShare bounds the weight of a workspace.
const maxShare = 1e6

// Check reports the problems within p alone.
func (p *Pool) Check(r *Reporter) { checkName(r, p.Name) }

// Check reports the problems within t alone.
func (t *Target) Check(r *Reporter) {
	checkName(r, t.Name)
	if t.Slots < 1 || t.Slots > maxSlots {
		r.Report("Slots", "must be 1 to %d, is %d", maxSlots, t.Slots)
	}
}

func checkName(r *Reporter, name string) {
	if !ValidName(name) {
		r.Report("Name", "%s", NameRule)
	}
}

func checkPriority(r *Reporter, field string, n int) {
	if n < -maxPriority || n > maxPriority {
		r.Report(field, "must be %d to %d, is %d", -maxPriority, maxPriority, n)
	}
}

// names returns the sorted names of the sections.
func (d *Document) names() []string {
	out := make([]string, 0, len(d.Sections))
	for name := range d.Sections {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// ReportFunc receives a problem of the whole document, at a path in one section.
type ReportFunc func(section string, path Path, format string, args ...any)

// Check reports the problems between the sections of d and between the objects
// in them: duplicate names, dangling references and too many objects of a kind.
func (d *Document) Check(report ReportFunc) {
	if len(d.Sections) > MaxSections {
		report("", nil, "must be at most %d sections, are %d", MaxSections, len(d.Sections))
	}
	c := documentChecker{
		report:     report,
		pipelines:  namespace{"pipeline", maxPipelines, map[string]string{}},
		workspaces: namespace{"workspace", maxWorkspaces, map[string]string{}},
		pools:      namespace{"pool", maxPools, map[string]string{}},
		targets:    namespace{"target", maxTargets, map[string]string{}},
	}
	names := d.names()
	for _, name := range names {
		if !ValidName(name) {
			report(name, nil, "the section's name %s", NameRule)
		}
		c.declare(name, d.Sections[name])
	}
	for _, name := range names {
		c.resolve(name, d.Sections[name])
	}
}

// namespace holds the names of the objects of one kind and the section that
// declares each.
type namespace struct {
	noun       string
	limit      int
	declaredIn map[string]string
}

type documentChecker struct {
	report                                ReportFunc
	unresolved                            int
	pipelines, workspaces, pools, targets namespace
}

func (c *documentChecker) add(ns *namespace, section, list string, i int, name string) {
	if name == "" {
		return
	}
	if first, ok := ns.declaredIn[name]; ok {
		c.report(section, Path(nil).At(list, i).Member("Name"), "%s %q is also declared in section %q; names are unique over all sections", ns.noun, name, first)
		return
	}
	ns.declaredIn[name] = section
	if len(ns.declaredIn) == ns.limit+1 {
		c.report(section, Path(nil).At(list, i), "more than %d %ss in all sections", ns.limit, ns.noun)
	}
}

// declare adds the names that a section declares.
func (c *documentChecker) declare(name string, s Section) {
	for i := range s.Pipelines {
		c.add(&c.pipelines, name, "Pipelines", i, s.Pipelines[i].Name)
	}
	for i := range s.Workspaces {
		c.add(&c.workspaces, name, "Workspaces", i, s.Workspaces[i].Name)
	}
	for i := range s.Pools {
		c.add(&c.pools, name, "Pools", i, s.Pools[i].Name)
	}
	for i := range s.Targets {
		c.add(&c.targets, name, "Targets", i, s.Targets[i].Name)
	}
}

// resolve checks the references of a section.
func (c *documentChecker) resolve(name string, s Section) {
	for i, p := range s.Pipelines {
		for j, stage := range p.Stages {
			c.checkReference(&c.pools, name, Path(nil).At("Pipelines", i).At("Stages", j).Member("Pool"), stage.Pool)
		}
	}
	for i, w := range s.Workspaces {
		for j, pipeline := range w.Pipelines {
			c.checkReference(&c.pipelines, name, Path(nil).At("Workspaces", i).At("Pipelines", j), pipeline)
		}
	}
	for i := range s.Targets {
		if _, ok := c.pools.declaredIn[s.Targets[i].Pool]; !ok {
			c.checkReference(&c.pools, name, Path(nil).At("Targets", i).Member("Pool"), s.Targets[i].Pool)
		}
	}
}

func (c *documentChecker) checkReference(ns *namespace, section string, path Path, name string) {
	if _, ok := ns.declaredIn[name]; ok {
		return
	}
	c.unresolved++
	if c.unresolved > maxProblems {
		return
	}
	known := make([]string, 0, len(ns.declaredIn))
	for n := range ns.declaredIn {
		known = append(known, n)
	}
	if near := nearest(name, known); near != "" {
		c.report(section, path, "no %s %q; did you mean %q?", ns.noun, name, near)
		return
	}
	c.report(section, path, "no section declares a %s %q", ns.noun, name)
}
