package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	program      = "target/berylswitch"
	templateFile = "platform/settings.json.tmpl"
	// settingsVariable holds the path of the settings file.
	settingsVariable = "BERYLSWITCH_SETTINGS"
	graceS           = 8
)

// Host is a process of the system, started with the command of the deploy file.
type Host struct {
	Name, IP                    string
	CallerAddr, ReadyAddr, Peer string

	settingsFile string
	logFile      *os.File
	cmd          *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// freePort returns a port of ip that nothing uses.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// NewHosts prepares n hosts, each on an address of its own, with settings like those
// of a small deployment.
func NewHosts(n int, net3 string, dir string, store *Store) ([]*Host, error) {
	var hosts []*Host
	var seeds []string
	for i := range n {
		h := &Host{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("%s.%d", net3, 11+i)}
		for _, addr := range []*string{&h.CallerAddr, &h.ReadyAddr, &h.Peer} {
			var err error
			if *addr, err = freePort(h.IP); err != nil {
				return nil, err
			}
		}
		seeds = append(seeds, h.Peer)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.writeSettings(dir, seeds[:min(3, len(seeds))], store.Addr()); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (h *Host) writeSettings(dir string, seeds []string, storeAddr string) error {
	text, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	fields := map[string]any{
		"nodeName": h.Name, "zone": "zone-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen.frontend": h.CallerAddr, "listen.readiness": h.ReadyAddr, "listen.admin": h.Peer,
		"seedNodes": seeds, "provider.address": storeAddr,
		"limits.cpuShare": 0.4, "limits.cpuCores": 1, "limits.bandwidthMbps": 1000.0, "limits.memoryMb": 284,
		"bounds.graceS": graceS, "bounds.configApplyMs": 2000,
		"bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 56, "bounds.budgetWindowS": 10,
	}
	var missing []string
	out := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := fields[m[1]]
		if !ok {
			missing = append(missing, m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	if len(missing) > 0 {
		return fmt.Errorf("the settings template names unknown fields: %s", strings.Join(missing, ", "))
	}
	h.settingsFile = filepath.Join(dir, h.Name+".json")
	return os.WriteFile(h.settingsFile, []byte(out), 0o600)
}

// Start starts the process.
func (h *Host) Start() error {
	var err error
	if h.logFile, err = os.OpenFile(strings.TrimSuffix(h.settingsFile, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command(program, "gateway")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + h.settingsFile}
	h.cmd.Stdout, h.cmd.Stderr = h.logFile, h.logFile
	// The process must not outlive this one.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		h.cmd.Wait()
		close(h.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { h.cmd.Process.Signal(s) }

// Running reports whether the process runs.
func (h *Host) Running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// State describes how the process ended.
func (h *Host) State() string {
	if h.Running() {
		return "runs"
	}
	return h.cmd.ProcessState.String()
}

// Ready reports whether the host answers the readiness probe with 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ReadyAddr + "/berylswitch/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all hosts are ready.
func WaitReady(hosts []*Host, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %s", h.Name, h.State())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Kill ends the process.
func (h *Host) Kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	<-h.exited
	h.logFile.Close()
}
