package experiment

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"go.uber.org/zap"
)

var (
	controlFlag    = flag.String("control", "", "numbers of hosts at which the control plane is measured, such as 8,32,128,520")
	targetsFlag    = flag.Int("targets", 4100, "number of declared targets")
	workspacesFlag = flag.Int("workspaces", 1300, "number of declared workspaces")
)

// Sizes and times of the measurement of the control plane.
const (
	sectionTargets    = 50
	sectionWorkspaces = 100
	controlPools      = 16
	// changePeriod is the mean time between changes, 5,900 a day.
	changePeriod  = 24 * time.Hour / 5900
	measurePeriod = 60 * time.Second
)

// controlCluster is a cluster of whole hosts without callers.
type controlCluster struct {
	t              *testing.T
	net            link.Memory
	sent, received atomic.Int64 // bytes, over all hosts
	hosts          []*host.Host
	exits          []chan error
	operator       *platform.Client
	changes        int
	revisions      map[string]platform.Offset
}

// TestControl prints the cost of the control plane per host, at each number of
// hosts in -control.
func TestControl(t *testing.T) {
	if *controlFlag == "" {
		t.Skip("-control is not set")
	}
	fmt.Printf("%d targets, %d workspaces, one change per %v\n\n", *targetsFlag, *workspacesFlag, changePeriod.Round(time.Millisecond))
	fmt.Println("| hosts | sent B/s/host | received B/s/host | cores/host | heap/host | change in force at all hosts, longest of |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, size := range strings.Split(*controlFlag, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measureControl(t, n) })
	}
}

func measureControl(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(t.Context())
	before := heapInUse()
	s := newControlCluster(ctx, t, n)
	time.Sleep(30 * time.Second)
	heap := (heapInUse() - before) / float64(n)
	sent, received, cpu := s.sent.Load(), s.received.Load(), cpuTime()
	var longest time.Duration
	changes := 0
	for end := time.Now().Add(measurePeriod); time.Now().Before(end); changes++ {
		longest = max(longest, s.publishChange(fmt.Sprintf("Targets%d", changes)))
		time.Sleep(changePeriod)
	}
	took := float64(n) * (measurePeriod + changePeriod).Seconds()
	fmt.Printf("| %d | %.0f | %.0f | %.3f%% | %.1f MB | %v of %d |\n", n, float64(s.sent.Load()-sent)/took, float64(s.received.Load()-received)/took,
		100*(cpuTime()-cpu).Seconds()/took, heap/(1<<20), longest, changes)
	cancel()
	for _, done := range s.exits {
		<-done
	}
	time.Sleep(time.Second) // lets pending dials end
}

// newControlCluster publishes the declared targets and workspaces and starts n
// hosts.
func newControlCluster(ctx context.Context, t *testing.T, n int) *controlCluster {
	s := &controlCluster{t: t, revisions: map[string]platform.Offset{}}
	s.net.Delay = crossDomainDelay
	logAddr, listAddr := netip.MustParseAddrPort("10.1.0.1:80"), netip.MustParseAddrPort("10.1.0.2:80")
	s.serve(ctx, logAddr, &standin.Log{})
	list := &standin.HostList{}
	s.serve(ctx, listAddr, list)
	s.operator = platform.NewClient(s.net.Process(netip.MustParseAddr("10.1.0.3")), logAddr, listAddr)
	s.publishAll(list)
	for i := range n {
		s.startHost(ctx, i, n, logAddr, listAddr)
	}
	return s
}

func (s *controlCluster) serve(ctx context.Context, addr netip.AddrPort, h http.Handler) {
	l, err := s.net.Process(addr.Addr()).Listen(addr)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	context.AfterFunc(ctx, func() { server.Close() })
}

// publishAll publishes the pools, pipelines, targets and workspaces and fills the
// host list.
func (s *controlCluster) publishAll(list *standin.HostList) {
	var base declaration.Section
	for p := range controlPools {
		base.Pools = append(base.Pools, declaration.Pool{Name: fmt.Sprintf("Pool%d", p)})
	}
	for p := range 18 {
		pipeline := declaration.Pipeline{Name: fmt.Sprintf("Pipeline%d", p), Deadline: declaration.Duration(6 * time.Second)}
		for g := range 3 + p%4 {
			pipeline.Stages = append(pipeline.Stages, declaration.Stage{Name: fmt.Sprintf("Stage%d", g), Pool: fmt.Sprintf("Pool%d", (p+g)%controlPools)})
		}
		base.Pipelines = append(base.Pipelines, pipeline)
	}
	s.publish("Base", &base)
	var entries []platform.HostEntry
	for i := 0; i < *targetsFlag; i += sectionTargets {
		targets := controlTargets(i, min(i+sectionTargets, *targetsFlag))
		for _, t := range targets {
			entries = append(entries, platform.HostEntry{Name: t.Name, Addr: t.Addr, Incarnation: "1", State: platform.Live})
		}
		s.publish(fmt.Sprintf("Targets%d", i/sectionTargets), &declaration.Section{Targets: targets})
	}
	list.Set(entries)
	for i := 0; i < *workspacesFlag; i += sectionWorkspaces {
		var sec declaration.Section
		for w := i; w < min(i+sectionWorkspaces, *workspacesFlag); w++ {
			sec.Workspaces = append(sec.Workspaces, declaration.Workspace{Name: fmt.Sprintf("workspace-%d", w), Share: 1})
		}
		s.publish(fmt.Sprintf("Workspaces%d", i/sectionWorkspaces), &sec)
	}
}

func controlTargets(from, to int) []declaration.Target {
	var out []declaration.Target
	for i := from; i < to; i++ {
		addr := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
		out = append(out, declaration.Target{
			Name: fmt.Sprintf("target-%d", i), Pool: fmt.Sprintf("Pool%d", i%controlPools), Slots: 8,
			Addr: netip.AddrPortFrom(addr, 80), Domain: fmt.Sprintf("domain-%d", i%8),
		})
	}
	return out
}

// publish appends a change of one section.
func (s *controlCluster) publish(name string, sec *declaration.Section) {
	text, err := json.Marshal(sec)
	if err != nil {
		s.t.Fatal(err)
	}
	data, err := json.Marshal(declaration.Change{RuleVersion: 1, Section: name, Base: int64(s.revisions[name]), Author: "operator", Text: text})
	if err != nil {
		s.t.Fatal(err)
	}
	s.changes++
	entry := platform.Entry{ID: fmt.Sprintf("change-%d", s.changes), Kind: section.ChangeKind, Data: data}
	offset, err := s.operator.Append(s.t.Context(), platform.ConfigStream, []platform.Entry{entry})
	if err != nil {
		s.t.Fatal(err)
	}
	s.revisions[name] = offset
}

func (s *controlCluster) startHost(ctx context.Context, i, n int, logAddr, listAddr netip.AddrPort) {
	ip := controlAddr(i)
	cfg := &settings.Settings{
		Name: fmt.Sprintf("host-%d", i), Domain: fmt.Sprintf("domain-%d", i%8), LogAddr: logAddr, HostListAddr: listAddr,
		CallerAddr: netip.AddrPortFrom(ip, callerPort), PeerAddr: netip.AddrPortFrom(ip, peerPort),
	}
	for p := range min(n, 3) {
		if p != i {
			cfg.Peers = append(cfg.Peers, settings.Peer{Name: fmt.Sprintf("host-%d", p), Addr: netip.AddrPortFrom(controlAddr(p), peerPort)})
		}
	}
	cfg.SetDefaults()
	h, err := host.New(cfg, link.Counted{Network: s.net.Process(ip), Sent: &s.sent, Received: &s.received}, &clock.Service{}, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	done := make(chan error, 1)
	s.hosts = append(s.hosts, h)
	s.exits = append(s.exits, done)
	go func() { done <- h.Run(ctx) }()
}

func controlAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

// publishChange publishes a changed section of targets and returns the time
// until the change is in force at every host, or a minute if it is not by then.
func (s *controlCluster) publishChange(name string) time.Duration {
	var i int
	if _, err := fmt.Sscanf(name, "Targets%d", &i); err != nil {
		s.t.Fatal(err)
	}
	targets := controlTargets(i*sectionTargets, (i+1)*sectionTargets)
	for j := range targets {
		targets[j].Slots = 9
	}
	start := time.Now()
	s.publish(name, &declaration.Section{Targets: targets})
	want := s.revisions[name]
	for time.Since(start) < time.Minute && !s.inForce(want) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// inForce reports whether every host applies the log up to offset.
func (s *controlCluster) inForce(offset platform.Offset) bool {
	for _, h := range s.hosts {
		if h.Follower.Offset() < offset {
			return false
		}
	}
	return true
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the bytes of heap and stacks in use after a collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
