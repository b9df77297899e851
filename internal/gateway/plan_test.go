package gateway

import (
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/stage"
	"go.uber.org/zap"
)

// TestPreferredDomain checks that a stage prefers the failure domain that saves
// the most bytes: each piece reads all inputs, and only the results of a sink are
// transferred to the domain of the request.
func TestPreferredDomain(t *testing.T) {
	route := &catalog.Route{Stages: []catalog.Stage{
		{ResultBytes: 3_000_000},
		{ResultBytes: 60_000},
		{After: []int{1}, ResultBytes: 6_000},
	}}
	in := func(domain string, bytes int64) stage.Result { return stage.Result{Domain: domain, Bytes: bytes} }
	for _, c := range []struct {
		name   string
		stage  int
		inputs []stage.Result
		domain string
		bytes  int64
	}{
		{"large results go to the request", 0, nil, "home", 6_000_000},
		{"results for another stage count for no domain yet", 1, nil, "", 0},
		{"inputs are read by each piece", 2, []stage.Result{in("x", 60_000), in("x", 60_000), in("y", 60_000)}, "x", 1_920_000},
	} {
		p := &plan{q: &request{route: route, RequestInfo: RequestInfo{Pieces: []int{2, 6, 16}}}, readers: []int{0, 1, 0}, targetDomain: "home"}
		domain, bytes := p.preferredDomain(c.stage, c.inputs)
		if domain != c.domain || bytes != c.bytes {
			t.Errorf("%s: %q, %d bytes, want %q, %d", c.name, domain, bytes, c.domain, c.bytes)
		}
	}
}

// TestStageToAwait checks that a stage of a short branch waits for the last stage
// of the longer branch from which the rest takes at least as long as itself.
func TestStageToAwait(t *testing.T) {
	table := &catalog.Table{Version: 1, Services: map[string]*catalog.Service{}}
	for name, ms := range map[string]time.Duration{"short": 100, "long": 300} {
		table.Services[name] = &catalog.Service{Name: name, Pool: &catalog.Pool{CallTime: ms * time.Millisecond}}
	}
	route := &catalog.Route{Stages: []catalog.Stage{
		{Service: "long"}, {Service: "short"}, {Service: "long", After: []int{1}}, {Service: "short", After: []int{2}},
	}}
	f := &catalog.Follower{Clock: &clock.Service{}, Log: zap.NewNop()}
	f.ApplyTable(table, catalog.Source{Name: "test"})
	h := &Host{Follower: f, Stages: &stage.Client{Clock: &clock.Service{}}}
	for _, c := range []struct {
		name   string
		pieces []int
		want   int
	}{
		{"as long as the two last stages", []int{1, 1, 1, 1}, 2},
		{"no other branch", []int{1, 0, 0, 0}, -1},
	} {
		p := &plan{h: h, q: &request{route: route, RequestInfo: RequestInfo{Pieces: c.pieces}}, sinks: []int{0, 3}, readers: []int{0, 1, 1, 0}}
		if got := p.stageToAwait(0); got != c.want {
			t.Errorf("%s: stage %d, want %d", c.name, got, c.want)
		}
	}
}
