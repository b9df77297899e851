package section

import (
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"runtime"
	"sync/atomic"
	"testing"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// The document size that must be supported.
const (
	manyTargets    = 4100
	manyWorkspaces = 1300
	manyPipelines  = 18
	manyPools      = 64
	perSection     = 100 // targets or workspaces in one section
)

// largeDocument returns the sections of the large document. The section with the
// pools and pipelines comes first.
func largeDocument(tb testing.TB) (names []string, texts map[string][]byte) {
	texts = map[string][]byte{}
	add := func(name string, s declaration.Section) {
		text, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			tb.Fatal(err)
		}
		names, texts[name] = append(names, name), text
	}
	var pools declaration.Section
	for i := range manyPools {
		pools.Pools = append(pools.Pools, declaration.Pool{Name: fmt.Sprintf("pool-%d", i)})
	}
	for i := range manyPipelines {
		p := declaration.Pipeline{Name: fmt.Sprintf("pipeline-%d", i), Deadline: 6e9, Objective: 0.95}
		for j := range 3 + i%4 {
			p.Stages = append(p.Stages, declaration.Stage{Name: fmt.Sprintf("stage-%d", j), Pool: fmt.Sprintf("pool-%d", (i+j)%manyPools)})
		}
		pools.Pipelines = append(pools.Pipelines, p)
	}
	add("pools", pools)
	for from := 0; from < manyTargets; from += perSection {
		add(fmt.Sprintf("targets-%d", from), targetSection(from, 8))
	}
	for from := 0; from < manyWorkspaces; from += perSection {
		var s declaration.Section
		for i := from; i < from+perSection; i++ {
			name := fmt.Sprintf("workspace-%d", i)
			s.Workspaces = append(s.Workspaces, declaration.Workspace{Name: name, TokenSHA256: declaration.TokenDigest(name), Share: 1,
				Pipelines: []string{fmt.Sprintf("pipeline-%d", i%manyPipelines)}})
		}
		add(fmt.Sprintf("workspaces-%d", from), s)
	}
	return names, texts
}

func targetSection(from, slots int) declaration.Section {
	var s declaration.Section
	for i := from; i < from+perSection; i++ {
		t := declaration.Target{Name: fmt.Sprintf("target-%d", i), Pool: fmt.Sprintf("pool-%d", i%manyPools), Domain: fmt.Sprintf("domain-%d", i%8), Slots: slots, Models: []string{fmt.Sprintf("model-%d", i%16)}}
		t.Addr = hostAt(i % 200).Addr
		s.Targets = append(s.Targets, t)
	}
	return s
}

// applyText folds a change of section name and fails unless it is accepted. It
// returns the size of the record.
func applyText(tb testing.TB, f *fold, name string, text []byte) int {
	data, err := json.Marshal(declaration.Change{Section: name, Base: int64(f.revision(name)), Text: text})
	if err != nil {
		tb.Fatal(err)
	}
	id := fmt.Sprint(f.offset + 1)
	f.apply(&platform.Record{Offset: f.offset + 1, Entry: platform.Entry{ID: id, Kind: ChangeKind, Data: data}})
	if v := f.verdicts[len(f.verdicts)-1]; v.Kind != declaration.Accepted {
		tb.Fatalf("%s: %v", name, v)
	}
	return len(data)
}

func largeFold(tb testing.TB) *fold {
	f := newFold(declaration.LatestRule)
	names, texts := largeDocument(tb)
	for _, name := range names {
		applyText(tb, f, name, texts[name])
	}
	return f
}

// BenchmarkChange measures folding a change of 100 targets into the large
// document and building the state.
func BenchmarkChange(b *testing.B) {
	f := largeFold(b)
	var texts [2][]byte
	for i := range texts {
		texts[i], _ = json.MarshalIndent(targetSection(0, 8+i), "", " ")
	}
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		bytes = applyText(b, f, "targets-0", texts[i%2])
		f.state()
	}
	b.ReportMetric(float64(bytes), "B/record")
}

// BenchmarkRestore measures restoring a fold from a snapshot, as a host does that
// starts.
func BenchmarkRestore(b *testing.B) {
	s := largeFold(b).state().snapshot()
	data, err := json.Marshal(s)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var s Snapshot
		if err := json.Unmarshal(data, &s); err != nil {
			b.Fatal(err)
		}
		f, err := restore(&s, declaration.LatestRule)
		if err != nil {
			b.Fatal(err)
		}
		f.state()
	}
	b.ReportMetric(float64(len(data)), "B/snapshot")
}

// BenchmarkMemory measures the heap that the fold and the state of the large
// document occupy.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		f := largeFold(b)
		s := f.state()
		b.ReportMetric(float64(heap()-before), "B/kept")
		runtime.KeepAlive(f)
		runtime.KeepAlive(s)
	}
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures a probe of a peer that has nothing newer, over one
// connection.
func BenchmarkProbe(b *testing.B) {
	f := &Follower{Clock: &clock.Service{}}
	f.published.Store(&publishedState{state: largeFold(b).state()})
	server := rpc.NewServer()
	if err := server.RegisterName(RPCName, &Service{Follower: f}); err != nil {
		b.Fatal(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	var bytes atomic.Int64
	client := rpc.NewClient(countingConn{near, &bytes})
	defer client.Close()
	args := &FetchArgs{From: f.Offset()}
	for b.Loop() {
		if err := client.Call(RPCName+".Fetch", args, &FetchReply{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/probe")
}
