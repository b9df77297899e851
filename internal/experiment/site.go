// Package experiment measures scheduling decisions under load. It runs whole
// hosts in virtual time, over links with delays, in front of stand-in targets.
//
// A Site is a set of hosts, targets and pipelines of the size of a present
// user's deployment, a Load the arrivals and faults, and a Run serves the load
// under one scheduling policy. Bound computes a reference for the same arrivals
// with one queue for each pool that knows every service time. Only tests use the
// package, since virtual time needs testing/synctest; docs/measurements says how
// to run them.
package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Site is the deployment that a load runs against.
type Site struct {
	Name       string
	Hosts      []HostSpec
	Targets    []TargetSpec
	Workspaces []WorkspaceSpec
	Pipelines  []PipelineSpec
	// EnginePool is the pool whose capacity sets the arrival rate.
	EnginePool string
	// Domains is the number of failure domains.
	Domains int
}

// HostSpec describes a host; Weight is its relative share of the callers at the
// load balancer.
type HostSpec struct {
	Name   string
	Domain int
	Weight float64
}

// TargetSpec describes a target; service times are divided by Speed.
type TargetSpec struct {
	Name   string
	Pool   string
	Domain int
	Slots  int
	Speed  float64
}

// WorkspaceSpec describes a workspace; Weight is its relative share of the
// callers, Share its declared share.
type WorkspaceSpec struct {
	Name   string
	Weight float64
	Share  float64
}

// PipelineSpec describes a pipeline; Weight is its relative share of the
// requests.
type PipelineSpec struct {
	Name     string
	Weight   float64
	Deadline time.Duration
	Long     bool
	Stages   []StageSpec
}

// StageSpec describes a stage; Median is the median service time at speed one.
type StageSpec struct {
	Name   string
	Pool   string
	Median time.Duration
}

// longFactor is the median engine time of long jobs relative to short ones.
const longFactor = 50

// engineMedian is the median time of a short job on an engine of speed one.
const engineMedian = 300 * time.Millisecond

// addTargets adds n targets to pool, with speeds evenly spaced from slowest to
// fastest.
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
			w = 2 // every second host is larger
		}
		s.Hosts = append(s.Hosts, HostSpec{Name: fmt.Sprintf("host-%d", i+1), Domain: i % s.Domains, Weight: w})
	}
}

// Skew makes the load balancer send a third of the callers to the first host, a
// small one, and spread the rest evenly over the others.
func (s *Site) Skew() {
	for i := range s.Hosts {
		s.Hosts[i].Weight = 2.0 / 3 / float64(len(s.Hosts)-1)
	}
	s.Hosts[0].Weight = 1.0 / 3
}

// SharedTable is a site of the size of the dining cooperative's: 8 hosts in 4
// failure domains, 12 engines and four services.
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

// Forbund is a site of the size of the trade fair organiser's: 6 hosts in 3
// failure domains, 10 engines, and entry, map and registry services.
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

// Large is a site with several shards of engines: 16 hosts in 8 failure domains,
// 192 engines of one slot.
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

// Addresses of the processes of a site: hosts, targets, and one client for each
// failure domain.
func (s *Site) hostAddr(i int) netip.Addr   { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }
func (s *Site) targetAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}) }
func (s *Site) clientAddr(d int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 2, byte(d + 1)}) }

var logAddr = netip.MustParseAddrPort("10.0.3.1:80")

const (
	callerPort = 80
	peerPort   = 81
)

// section returns the site as a declaration section.
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
