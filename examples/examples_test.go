// Package examples holds a complete document and the settings of one host for
// each of the two users. The tests check these files and run hosts with them.
package examples

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
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
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

var (
	operatorIP = netip.MustParseAddr("10.99.0.1")
	callerIP   = netip.MustParseAddr("10.99.0.2")
)

// site runs one user's document: every declared target, the platform's services
// and all entry hosts. It must be used in a synctest bubble.
type site struct {
	t       *testing.T
	net     link.Memory
	doc     *declaration.Files
	host    *settings.Settings
	servers []*standin.Server
	workers map[string]*standin.Worker // by target
	stops   []func()
	client  *http.Client
}

func (s *site) serve(addr netip.AddrPort, h http.Handler) {
	server := &standin.Server{Net: s.net.Process(addr.Addr()), Addr: addr, Handler: h}
	if err := server.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.servers = append(s.servers, server)
}

// load reads the files of a user and fails the test if they have a problem.
func load(t *testing.T, user string) (*declaration.Files, *settings.Settings) {
	doc, problems, err := declaration.ReadFiles(declaration.FirstRule, user+"/document.jsonc")
	if err != nil || len(problems) > 0 {
		t.Fatalf("document: %v%v", err, problems)
	}
	s, err := settings.Load(user + "/host.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return doc, s
}

func newSite(t *testing.T, user string) *site {
	doc, set := load(t, user)
	s := &site{t: t, net: link.Memory{Delay: 500 * time.Microsecond}, doc: doc, host: set, workers: map[string]*standin.Worker{}}
	s.serve(set.LogAddr, &standin.Log{})
	list := &standin.HostList{}
	s.serve(set.HostListAddr, list)
	var entries []platform.HostEntry
	for _, target := range declaration.NewView(doc.Document).Targets {
		w := &standin.Worker{Name: target.Name, Speed: 1, Slots: target.Slots}
		s.workers[target.Name] = w
		s.serve(target.Addr, w)
		entries = append(entries, platform.HostEntry{Name: target.Name, Addr: target.Addr, Incarnation: "1", State: platform.Live})
	}
	list.Set(entries)
	s.client = &http.Client{Transport: link.Transport(s.net.Process(callerIP))}
	return s
}

// publish appends the sections in an order in which each is valid.
func (s *site) publish() {
	c := platform.NewClient(s.net.Process(operatorIP), s.host.LogAddr, s.host.HostListAddr)
	defer c.HTTP.CloseIdleConnections()
	order := []string{"Engines", "Ledger", "Canteens", "Fair", "Briefing", "Members", "Fairs"}
	for _, name := range order {
		part, ok := s.doc.SectionTexts[name]
		if !ok {
			continue
		}
		data, err := json.Marshal(declaration.Change{RuleVersion: declaration.FirstRule, Section: name, Author: "example", Text: part.Text})
		if err != nil {
			s.t.Fatal(err)
		}
		if _, err := c.Append(context.Background(), platform.ConfigStream, []platform.Entry{{ID: name, Kind: section.ChangeKind, Data: data}}); err != nil {
			s.t.Fatal(err)
		}
	}
}

// start runs the host of the settings file and its peers.
func (s *site) start() []netip.AddrPort {
	all := append([]settings.Peer{{Name: s.host.Name, Addr: s.host.PeerAddr, Domain: s.host.Domain}}, s.host.Peers...)
	var callers []netip.AddrPort
	for i, self := range all {
		hostSettings := *s.host
		hostSettings.Name, hostSettings.Domain, hostSettings.PeerAddr = self.Name, self.Domain, self.Addr
		hostSettings.CallerAddr = netip.AddrPortFrom(self.Addr.Addr(), s.host.CallerAddr.Port())
		hostSettings.Peers = append(append([]settings.Peer(nil), all[:i]...), all[i+1:]...)
		h, err := host.New(&hostSettings, s.net.Process(self.Addr.Addr()), &clock.Service{}, zap.NewNop())
		if err != nil {
			s.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := h.Run(ctx); err != nil {
				s.t.Error(err)
			}
		}()
		s.stops = append(s.stops, func() { cancel(); <-done })
		callers = append(callers, hostSettings.CallerAddr)
	}
	return callers
}

func (s *site) close() {
	s.client.CloseIdleConnections()
	for _, stop := range s.stops {
		stop()
	}
	for _, server := range s.servers {
		server.Stop()
	}
	time.Sleep(time.Minute) // lets idle connections close
}

func (s *site) call(addr netip.AddrPort, workspace, pipeline, key string) caller.Answer {
	url := fmt.Sprintf("http://%v/v1/workspaces/%s/pipelines/%s", addr, workspace, pipeline)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"Text": "x", "Service": 5000000}`)))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer example token of "+workspace)
	req.Header.Set(caller.KeyHeader, key)
	resp, err := s.client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var a caller.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		s.t.Fatalf("%s: %v", pipeline, err)
	}
	return a
}

// TestDocuments calls every pipeline of each document in every workspace, twice
// through different hosts. A workspace that may not call the pipeline must get
// UnknownPipeline. A pipeline that is not idempotent gets the same key both times
// and must run once.
func TestDocuments(t *testing.T) {
	for _, user := range []string{"sharedtable", "forbund"} {
		t.Run(user, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, user)
				defer s.close()
				s.publish()
				hosts := s.start()
				time.Sleep(5 * time.Second)
				view := declaration.NewView(s.doc.Document)
				calls := 0
				for _, w := range view.Workspaces {
					for _, p := range view.Pipelines {
						calls += s.callTwice(hosts, view, w, p, calls)
					}
				}
				t.Logf("%d calls through %d hosts", calls, len(hosts))
			})
		})
	}
}

func (s *site) callTwice(hosts []netip.AddrPort, view *declaration.View, w *declaration.Workspace, p *declaration.Pipeline, n int) int {
	want := "OK"
	if len(w.Pipelines) > 0 && !slices.Contains(w.Pipelines, p.Name) {
		want = "UnknownPipeline"
	}
	key := ""
	if view.NonIdempotent(p) {
		key = uuid.Must(uuid.NewV7()).String()
	}
	first := s.call(hosts[n%len(hosts)], w.Name, p.Name, key)
	second := s.call(hosts[(n+1)%len(hosts)], w.Name, p.Name, key)
	if diff := cmp.Diff([]string{want, want}, []string{first.Name, second.Name}); diff != "" {
		s.t.Errorf("%s in %s (-want +got):\n%s%s", p.Name, w.Name, diff, first.Message)
	}
	if key != "" && want == "OK" {
		if diff := cmp.Diff(first.Output, second.Output); diff != "" {
			s.t.Errorf("%s in %s: repeat (-first +second):\n%s", p.Name, w.Name, diff)
		}
		s.checkOnce(view, p, key)
	}
	return 2
}

// checkOnce checks that each stage that may not be repeated ran exactly once.
func (s *site) checkOnce(view *declaration.View, p *declaration.Pipeline, key string) {
	for _, stage := range p.Stages {
		if !view.Pools[stage.Pool].NonIdempotent {
			continue
		}
		runs := 0
		for name, worker := range s.workers {
			if view.Targets[name].Pool == stage.Pool {
				runs += worker.Runs()[key]
			}
		}
		if runs != 1 {
			s.t.Errorf("%s: stage %s ran %d times for one key", p.Name, stage.Name, runs)
		}
	}
}
