// Reviewstand runs the scripted cases of review/: it starts the programs of the deploy
// file as processes of their own, beside stand-ins for the platform, its workers and
// its clients, all on loopback addresses.
//
//	reviewstand CASE RECORD
//
// The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Stand is what all cases have: a store, hosts and the record.
type Stand struct {
	Trouble bool
	Record  *Record
	Store   *Store
	Hosts   []*Host
	// Net is the first three numbers of the loopback addresses of this run.
	Net string

	dir string
}

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(*Stand) (int, error){
	"reload":   runReload,
	"answers":  runAnswers,
	"innocent": runInnocent,
	"silence":  runSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := run(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "reviewstand:", err)
		os.Exit(exitNotRun)
	case broken > 0:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run runs one case and ends all that it started.
func run(f func(*Stand) (int, error), recordFile string) (int, error) {
	dir, err := os.MkdirTemp("", "reviewstand")
	if err != nil {
		return 0, err
	}
	record, err := NewRecord(recordFile)
	if err != nil {
		return 0, err
	}
	defer record.Close()
	s := &Stand{Trouble: os.Getenv("TROUBLE") != "0", Record: record, dir: dir}
	s.Net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	if s.Store, err = NewStore(s.Net + ".7"); err != nil {
		return 0, err
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.stop()
		os.Exit(exitNotRun)
	}()
	record.Say("disruption: %v", s.Trouble)
	return f(s)
}

// stop ends all processes. With KEEP_LOGS=1 their logs stay.
func (s *Stand) stop() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "1" {
		fmt.Println("logs:", s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

// startTime is how long the hosts may take to become ready.
const startTime = 15 * time.Second

// StartHosts starts n hosts with the given configuration in force.
func (s *Stand) StartHosts(n int, config map[string]any) error {
	s.Store.PutJSON(configTopic, configKey, config)
	var err error
	if s.Hosts, err = NewHosts(n, s.Net, s.dir, s.Store); err != nil {
		return err
	}
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	if err := WaitReady(s.Hosts, startTime); err != nil {
		return err
	}
	// The hosts find each other within this time.
	time.Sleep(3 * time.Second)
	return nil
}

// StartWorkers starts n workers of one service, each on an address of its own from
// firstIP on.
func (s *Stand) StartWorkers(service string, firstIP, n, slots int, handle func(c *workerConn, req *http.Request, body []byte) bool) ([]*Worker, error) {
	var workers []*Worker
	for i := range n {
		w := &Worker{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Slots: slots, store: s.Store, record: s.Record, handle: handle}
		if err := w.Start(fmt.Sprintf("%s.%d", s.Net, firstIP+i)); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// Names that all configurations share.
const (
	engineService = "llm"
	stageService  = "board"
	routeHost     = "menus.example"
	tenantKey     = "9dnn2ctnfzs989anu6ws"
)

// config returns a configuration with the limits and the tenant of all cases.
func config(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "canteens", "apiKeys": []string{tenantKey}, "priority": 1}},
	}
}

// engine is the service of the model workers.
var engine = map[string]any{
	"name": engineService, "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false,
	"engine": map[string]any{"slots": 128, "kvCapacity": 350529, "kvBytes": 262144, "bandwidthMbps": 550000.0, "moves": true, "backups": true,
		"stride": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
}

// streamRoute returns a route for streams.
func streamRoute(prefix string, timeoutMS, attempts int, stages []map[string]any) map[string]any {
	return map[string]any{
		"name": "r-" + prefix, "host": routeHost, "pathPrefix": "/" + prefix + "/", "kind": "stream", "timeoutMs": timeoutMS,
		"targetLatencyMs": 1900, "priority": 1, "service": engineService, "attempts": attempts, "stages": stages,
		"public": false, "sticky": true, "resumable": false, "itlTargetMs": 500,
	}
}
