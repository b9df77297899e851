package load

import (
	"context"
	"net/http"
	"testing"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/site"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// BenchmarkDirect calls a stand-in directly, BenchmarkHost through a host.
func BenchmarkDirect(b *testing.B) { benchmark(b, (*Overhead).callDirect) }
func BenchmarkHost(b *testing.B)   { benchmark(b, (*Overhead).callHost) }

func benchmark(b *testing.B, call func(*Overhead, context.Context) error) {
	s := &site.Site{
		Hosts: 1, Log: &standin.Log{}, HostList: &standin.HostList{},
		Workspaces: []declaration.Workspace{{Name: "W"}},
		Pipelines: []declaration.Pipeline{{Name: "P", Deadline: declaration.Duration(1e9),
			Stages: []declaration.Stage{{Name: "a", Pool: "Workers"}}}},
		Pools: []site.Pool{{Pool: declaration.Pool{Name: "Workers"}, Targets: []http.Handler{&standin.Worker{Slots: 64}}}},
	}
	if err := s.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	transport := link.Transport(link.TCP{})
	defer transport.CloseIdleConnections()
	o := &Overhead{Clock: &clock.Service{}, Host: s.Callers[0], Target: s.Targets[0].Addr, Workspace: "W", Pipeline: "P",
		client: &http.Client{Transport: transport}}
	b.ReportAllocs()
	for b.Loop() {
		if err := call(o, b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
