package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports that FreeAddr returns. The kernel gives ports from 32768 up to connections.
const (
	firstPort = 10000
	lastPort  = 29999
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + rand.IntN(lastPort-firstPort)
)

// FreeAddr returns a loopback address that is not in use, a different one at each call.
func FreeAddr(r *Run) string {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	r.Cannot("no port is free")
	return ""
}

// Host is a host process of the system under test.
type Host struct {
	Name       string
	CallerAddr string
	ReadyAddr  string

	cmd *exec.Cmd
	log *os.File
}

// StartHosts starts n hosts with the command of the deploy file and the settings that its
// template makes of a small deployment, and waits until they are ready.
func StartHosts(r *Run, n int, store *Store, domains []string) []*Host {
	var peers []string
	for range n {
		peers = append(peers, FreeAddr(r))
	}
	regions := map[string]string{}
	for _, d := range domains {
		regions[d] = "r"
	}
	var hosts []*Host
	for i := range n {
		h := &Host{Name: fmt.Sprintf("front-%s-%d", domains[i%len(domains)], i+1), CallerAddr: FreeAddr(r), ReadyAddr: FreeAddr(r)}
		_, metrics, _ := net.SplitHostPort(FreeAddr(r))
		settings, err := json.Marshal(map[string]any{
			"Name": h.Name, "Domain": domains[i%len(domains)], "Regions": regions,
			"CallerAddr": h.CallerAddr, "ReadyAddr": h.ReadyAddr, "PeerAddr": peers[i], "MetricsPort": json.Number(metrics), "Peers": peers,
			"StoreAddr": store.Addr, "CPUShare": 0.4, "CPUSpeed": 1, "LinkMbps": 1000.0, "MemoryMB": 284, "MaxFDs": 4100,
			"GracePeriod": "8s", "ApplyTime": "2000ms", "RepeatRatio": 0.2, "RepeatSlack": 52, "RepeatWindow": "10s",
			"PlacementPolicy": "Work", "StageAdmission": "Forecast",
		})
		if err != nil {
			r.Cannot("settings: %v", err)
		}
		file := filepath.Join(r.dir, h.Name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			r.Cannot("settings: %v", err)
		}
		if h.log, err = os.Create(filepath.Join(r.dir, h.Name+".log")); err != nil {
			r.Cannot("log: %v", err)
		}
		h.cmd = exec.Command("target/berylswitch", "gateway")
		h.cmd.Env = append(os.Environ(), "BERYLSWITCH_SETTINGS="+file)
		h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
		h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := h.cmd.Start(); err != nil {
			r.Cannot("start of a host: %v", err)
		}
		r.Cleanup(h.kill)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.waitReady(r)
	}
	return hosts
}

func (h *Host) kill() {
	h.cmd.Process.Kill()
	h.cmd.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if b, err := os.ReadFile(h.log.Name()); err == nil {
			os.WriteFile(filepath.Join(keep, h.Name+".log"), b, 0o600)
		}
	}
	h.log.Close()
}

// readyTimeout bounds the start of a host.
const readyTimeout = 15 * time.Second

func (h *Host) waitReady(r *Run) {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ReadyAddr + "/berylswitch/readyz")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.Logf("%s is ready", h.Name)
			return
		}
	}
	r.Cannot("%s is not ready within %v", h.Name, readyTimeout)
}
