// Package experiment measures the decisions under load: whole hosts in virtual
// time, over links with delays, before stand-in targets. A Site is a set of
// hosts, targets and pipelines at the size of one of today's users, a Load the
// arrivals and faults, and a Run the answers of one policy to them. The Bound
// is computed for the same arrivals by one queue that knows every service time.
// The package is used by its tests alone, since virtual time needs
// testing/synctest; docs/measurements says how to run them.
package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Site is what a load is run against.
type Site struct {
	Name       string
	Hosts      []HostSpec
	Targets    []TargetSpec
	Workspaces []WorkspaceSpec
	Pipelines  []PipelineSpec
	// Engine is the pool whose capacity sets the rate of arrivals.
	EnginePool string
	Domains    int
}

// HostSite is one host; Weight is the part of the callers that the balancer
// gives it.
type HostSpec struct {
	Name   string
	Domain int
	Weight float64
}

// TargetSite is one target; Speed is relative to the work's service times.
type TargetSpec struct {
	Name   string
	Pool   string
	Domain int
	Slots  int
	Speed  float64
}

// WorkspaceSite is one workspace; Weight is its part of the callers.
type WorkspaceSpec struct {
	Name   string
	Weight float64
	Share  float64
}

// PipelineSite is one pipeline; Weight is its part of the requests.
type PipelineSpec struct {
	Name     string
	Weight   float64
	Deadline time.Duration
	Long     bool
	Stages   []StageSpec
}

// StageSite is one stage; Median is the median service time at speed one.
type StageSpec struct {
	Name   string
	Pool   string
	Median time.Duration
}

// longFactor is how many times the median the long jobs take.
const longFactor = 50

// engineMedian is the median time of a short job at an engine of speed one.
const engineMedian = 300 * time.Millisecond

func (s *Site) addTargets(pool string, n, slots int, slowest, fastest float64) {
	for i := range n {
		speed := slowest + (fastest-slowest)*float64(i)/float64(n-1)
		name := fmt.Sprintf("%s-%02d", pool, i+1)
		s.Targets = append(s.Targets, TargetSpec{Name: name, Pool: pool, Domain: i % s.Domains, Slots: slots, Speed: speed})
	}
}

func (s *Site) addHosts(n int) {
	for i := range n {
		w := 1.0
		if i%2 == 1 {
			w = 2 // every second host is of the larger size
		}
		s.Hosts = append(s.Hosts, HostSpec{Name: fmt.Sprintf("host-%d", i+1), Domain: i % s.Domains, Weight: w})
	}
}

// Skew makes the balancer give the first host, a small one, a third of the
// callers and the others the rest evenly.
func (s *Site) Skew() {
	for i := range s.Hosts {
		s.Hosts[i].Weight = 2.0 / 3 / float64(len(s.Hosts)-1)
	}
	s.Hosts[0].Weight = 1.0 / 3
}

// SharedTable is the size of the dining cooperative: 8 hosts in 4 domains, 12
// engines and four services.
func SharedTable() *Site {
	s := &Site{Name: "SharedTable", Domains: 4, EnginePool: "engine"}
	s.addHosts(8)
	s.addTargets("engine", 12, 8, 1, 3)
	s.addTargets("portal", 5, 8, 1, 2)
	s.addTargets("menu", 5, 8, 1, 2)
	s.addTargets("ledger", 4, 8, 1, 2)
	s.addTargets("notify", 4, 8, 1, 2)
	s.Workspaces = []WorkspaceSpec{{"north", 0.35, 3.5}, {"south", 0.3, 3}, {"harbour", 0.15, 1.5}, {"hill", 0.1, 1}, {"lake", 0.1, 1}}
	s.Pipelines = []PipelineSpec{
		{Name: "Advice", Weight: 0.78, Deadline: 3 * time.Second, Stages: []StageSpec{
			{"read", "portal", 8 * time.Millisecond}, {"menu", "menu", 12 * time.Millisecond}, {"answer", "engine", engineMedian}}},
		{Name: "Balance", Weight: 0.2, Deadline: time.Second, Stages: []StageSpec{
			{"read", "portal", 8 * time.Millisecond}, {"balance", "ledger", 10 * time.Millisecond}}},
		{Name: "WeeklyMenu", Weight: 0.02, Deadline: 60 * time.Second, Long: true, Stages: []StageSpec{
			{"menu", "menu", 12 * time.Millisecond}, {"draft", "engine", longFactor * engineMedian}, {"post", "notify", 8 * time.Millisecond}}},
	}
	return s
}

// Forbund is the size of the trade fair organiser: 6 hosts in 3 domains, 10
// engines, entry, registry and booking workers.
func Forbund() *Site {
	s := &Site{Name: "Forbund", Domains: 3, EnginePool: "engine"}
	s.addHosts(6)
	s.addTargets("engine", 10, 8, 1, 3)
	s.addTargets("entry", 5, 8, 1, 2)
	s.addTargets("map", 5, 8, 1, 2)
	s.addTargets("registry", 3, 8, 1, 2)
	s.Workspaces = []WorkspaceSpec{{"fair", 0.4, 4}, {"buyers", 0.3, 3}, {"makers", 0.1, 1}, {"press", 0.1, 1}, {"staff", 0.1, 1}}
	s.Pipelines = []PipelineSpec{
		{Name: "Followup", Weight: 0.5, Deadline: 3 * time.Second, Stages: []StageSpec{
			{"entry", "entry", 8 * time.Millisecond}, {"map", "map", 8 * time.Millisecond}, {"draft", "engine", engineMedian}}},
		{Name: "Availability", Weight: 0.48, Deadline: time.Second, Stages: []StageSpec{
			{"entry", "entry", 8 * time.Millisecond}, {"look", "registry", 20 * time.Millisecond}}},
		{Name: "Dossier", Weight: 0.02, Deadline: 60 * time.Second, Long: true, Stages: []StageSpec{
			{"entry", "entry", 8 * time.Millisecond}, {"write", "engine", longFactor * engineMedian}}},
	}
	return s
}

// Large is a site whose engines make several shards: 16 hosts in 8 domains, 192
// engines of one slot.
func Large() *Site {
	s := &Site{Name: "Large", Domains: 8, EnginePool: "engine"}
	s.addHosts(16)
	s.addTargets("engine", 192, 1, 1, 3)
	s.addTargets("portal", 24, 4, 1, 2)
	s.Workspaces = []WorkspaceSpec{{"north", 0.5, 1}, {"south", 0.5, 1}}
	s.Pipelines = []PipelineSpec{
		{Name: "Advice", Weight: 0.98, Deadline: 3 * time.Second, Stages: []StageSpec{
			{"read", "portal", 8 * time.Millisecond}, {"answer", "engine", engineMedian}}},
		{Name: "WeeklyMenu", Weight: 0.02, Deadline: 60 * time.Second, Long: true, Stages: []StageSpec{
			{"draft", "engine", longFactor * engineMedian}}},
	}
	return s
}

// Addresses of the processes of a site.
func (s *Site) hostAddr(i int) netip.Addr   { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }
func (s *Site) targetAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}) }
func (s *Site) clientAddr(d int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 2, byte(d + 1)}) }

var logAddr = netip.MustParseAddrPort("10.0.3.1:80")

const (
	callerPort = 80
	peerPort   = 81
)

// section is the declaration of the site.
func (s *Site) section() declaration.Section {
	out := declaration.Section{}
	pools := map[string]bool{}
	for i, t := range s.Targets {
		if !pools[t.Pool] {
			pools[t.Pool] = true
			out.Pools = append(out.Pools, declaration.Pool{Name: t.Pool})
		}
		out.Targets = append(out.Targets, declaration.Target{Name: t.Name, Pool: t.Pool, Slots: t.Slots,
			Addr: netip.AddrPortFrom(s.targetAddr(i), callerPort), Domain: fmt.Sprintf("domain-%d", t.Domain+1)})
	}
	for _, w := range s.Workspaces {
		out.Workspaces = append(out.Workspaces, declaration.Workspace{Name: w.Name, Share: w.Share})
	}
	for _, p := range s.Pipelines {
		d := declaration.Pipeline{Name: p.Name, Deadline: declaration.Duration(p.Deadline), Objective: 0.99}
		for _, g := range p.Stages {
			d.Stages = append(d.Stages, declaration.Stage{Name: g.Name, Pool: g.Pool})
		}
		out.Pipelines = append(out.Pipelines, d)
	}
	return out
}
