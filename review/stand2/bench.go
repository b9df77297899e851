package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 110 * time.Second

// bench is what all cases need: the record, the addresses, the store and the processes.
type bench struct {
	// trouble is not set if the disruption is to be left out.
	trouble bool
	start   time.Time
	dir     string
	store   *store

	mu      sync.Mutex
	record  *os.File
	hosts   []*host
	workers []*worker
	closed  bool
	lastIP  int
	prefix  string
}

// newBench starts the store and opens the record.
func newBench(record string) (*bench, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), dir: dir, record: f, prefix: fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250)}
	l, err := net.Listen("tcp", b.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	b.store = newStore(l)
	time.AfterFunc(maxRunTime, func() {
		b.note("the case took too long")
		b.close()
		os.Exit(2)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		b.close()
		os.Exit(2)
	}()
	b.note("disruption: %v", b.trouble)
	return b, nil
}

// nextIP returns a loopback address that nothing else of this bench uses.
func (b *bench) nextIP() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastIP++
	return fmt.Sprintf("%s.%d", b.prefix, b.lastIP)
}

// note writes a line to the record, with the time since the start.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (b *bench) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, w := range b.workers {
		w.stop()
	}
	b.store.server.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		b.record.Close()
		os.RemoveAll(b.dir)
	}
}

// host is one gateway process.
type host struct {
	b        *bench
	name     string
	settings string
	frontend string
	ready    string
	admin    string
	out      string

	mu      sync.Mutex
	process *exec.Cmd
	killed  bool
	ended   chan struct{}
}

// machine is the size of the machine of a host.
type machine struct {
	memoryMB float64
	fds      int
}

// smallMachine is that of the site sdf-fairdesk.
var smallMachine = machine{memoryMB: 284, fds: 4100}

// startHosts starts n gateways and waits until all are ready and know each other.
func (b *bench) startHosts(n int, m machine) ([]*host, error) {
	for i := range n {
		ip := b.nextIP()
		h := &host{b: b, name: fmt.Sprintf("front-%d", i+1), settings: filepath.Join(b.dir, fmt.Sprintf("host-%d.json", i+1)), out: filepath.Join(b.dir, fmt.Sprintf("host-%d.log", i+1))}
		if err := h.chooseAddrs(ip); err != nil {
			return nil, err
		}
		b.hosts = append(b.hosts, h)
	}
	var seeds []string
	for _, h := range b.hosts[:min(3, n)] {
		seeds = append(seeds, h.admin)
	}
	for _, h := range b.hosts {
		if err := h.writeSettings(m, seeds); err != nil {
			return nil, err
		}
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	for _, h := range b.hosts {
		if err := h.awaitReady(); err != nil {
			return nil, err
		}
	}
	// The hosts learn of each other within a few heartbeats.
	time.Sleep(4 * time.Second)
	b.note("%d hosts are ready", n)
	return b.hosts, nil
}

// chooseAddrs sets the addresses of h to free ports of ip. All are taken before the first one
// is given back, so that they differ.
func (h *host) chooseAddrs(ip string) error {
	for _, addr := range []*string{&h.frontend, &h.ready, &h.admin} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*addr = l.Addr().String()
	}
	return nil
}

// writeSettings fills in the project's template as the platform does.
func (h *host) writeSettings(m machine, seeds []string) error {
	template, err := os.ReadFile("platform/settings.json.tmpl")
	if err != nil {
		return err
	}
	values := map[string]any{
		"nodeName": h.name, "zone": "zone-1", "zones": map[string]string{"zone-1": "region-1"},
		"listen.frontend": h.frontend, "listen.readiness": h.ready, "listen.admin": h.admin,
		"seedNodes": seeds, "provider.address": h.b.store.addr,
		"limits.cpuShare": 0.4, "limits.cpuCores": 1, "limits.bandwidthMbps": 1000.0, "limits.memoryMb": m.memoryMB, "limits.maxFds": m.fds,
		"bounds.graceS": 8, "bounds.configApplyMs": 2000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 52, "bounds.budgetWindowS": 10,
	}
	text, err := fill(string(template), values)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// fill fills in a template: sections whose value is absent are left out.
func fill(text string, values map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, _ := strings.Cut(rest, "}}")
		text = after
		if section, ok := strings.CutPrefix(name, "#"); ok {
			if _, known := values[section]; !known {
				_, text, _ = strings.Cut(text, "{{/"+section+"}}")
			}
			continue
		}
		if strings.HasPrefix(name, "/") {
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		value, known := values[name]
		if !known {
			return "", fmt.Errorf("the template names %q, which this bench does not know", name)
		}
		if !asJSON {
			fmt.Fprint(&out, value)
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		out.Write(encoded)
	}
}

// run starts the process with the command of the deploy file.
func (h *host) run() error {
	out, err := os.OpenFile(h.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p := exec.Command("target/berylswitch", "gateway")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BERYLSWITCH_SETTINGS=" + h.settings}
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.killed, h.ended = p, false, ended
	h.mu.Unlock()
	h.b.note("%s started, process %d, callers at %s", h.name, p.Process.Pid, h.frontend)
	go func() {
		err := p.Wait()
		h.mu.Lock()
		byItself := !h.killed
		h.mu.Unlock()
		if byItself {
			h.b.note("%s ended by itself: %v", h.name, err)
			h.notePanic()
		}
		close(ended)
	}()
	return nil
}

// notePanic writes the panic of the process, if any, to the record.
func (h *host) notePanic() {
	text, err := os.ReadFile(h.out)
	if err != nil {
		return
	}
	_, panicText, found := strings.Cut(string(text), "\npanic: ")
	if !found {
		return
	}
	lines := strings.SplitN(panicText, "\n", 14)
	for _, line := range lines[:len(lines)-1] {
		h.b.note("    %s", line)
	}
}

// kill ends the process at once.
func (h *host) kill() {
	h.mu.Lock()
	p, ended := h.process, h.ended
	h.killed = true
	h.mu.Unlock()
	if p == nil {
		return
	}
	if err := p.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		h.b.note("cannot kill %s: %v", h.name, err)
	}
	<-ended
}

// terminate asks the process to stop.
func (h *host) terminate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killed = true
	if err := h.process.Process.Signal(syscall.SIGTERM); err != nil {
		h.b.note("cannot stop %s: %v", h.name, err)
	}
}

// endedByItself reports whether the process is gone though nobody killed it.
func (h *host) endedByItself() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return !h.killed
	default:
		return false
	}
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/berylswitch/readyz", nil)
		if err != nil {
			cancel()
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s did not get ready", h.name)
}
