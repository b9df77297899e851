package settings

import (
	"net/netip"
	"slices"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Gateway holds the settings of a gateway process.
type Gateway struct {
	// Name is unique among the hosts.
	Name   string
	Domain string
	// Regions maps each failure domain to its region. Home regions of routes and
	// workspaces refer to these.
	Regions map[string]string `json:",omitempty"`
	// CallerAddr is where callers connect, ReadyAddr where the load balancer polls
	// whether this host accepts new connections, PeerAddr where other hosts connect.
	CallerAddr netip.AddrPort
	ReadyAddr  netip.AddrPort
	PeerAddr   netip.AddrPort
	// MetricsPort is the port that serves counters and histograms.
	MetricsPort int
	// Peers lists the PeerAddr of the hosts to contact first; some may be gone.
	Peers []netip.AddrPort `json:",omitempty"`
	// StoreAddr is the address of the platform's store.
	StoreAddr netip.AddrPort
	// CPUShare is the share of a core that the process may use, CPUSpeed the speed
	// of that core relative to a usual one, LinkMbps the host's bandwidth in Mbit/s.
	CPUShare float64
	CPUSpeed float64
	LinkMbps float64
	// MemoryMB is the memory that the process may use.
	MemoryMB float64
	// GracePeriod is the time between the stop request and the forced termination.
	GracePeriod declaration.Duration
	// ApplyTime is the time within which a change to the configuration or to a
	// target must take effect.
	ApplyTime declaration.Duration
	// RepeatRatio and RepeatSlack bound the repeated sends of all hosts together to
	// a service in any RepeatWindow: RepeatRatio times the requests for it, plus
	// RepeatSlack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow declaration.Duration
	// StageAdmission selects how requests with stages are admitted: by the wait estimates
	// of heartbeats ("Estimate", also if it is empty), by forecasts of batchers that record
	// what hosts admit ("Forecast"), or by reservations that are promised ("Reservation").
	StageAdmission string `json:",omitempty"`
	// ColdFactor and ColdSlack bound the requests of all hosts together to a cold
	// target in any second: ColdFactor times the cold rate of its service, plus
	// ColdSlack. Without ColdFactor there is no such bound.
	ColdFactor float64 `json:",omitempty"`
	ColdSlack  float64 `json:",omitempty"`
	// PlacementPolicy selects how the holder of a service chooses the targets of prompts:
	// "Prefill", also if it is empty, or "Work".
	PlacementPolicy string `json:",omitempty"`

	// SendPriorities makes the host tell model engines the priorities of requests, by which
	// they admit and preempt.
	SendPriorities bool `json:",omitempty"`

	// MaxFDs is the number of descriptors that the process may open. Zero means the
	// limit under which it was started. It is a float like the platform's other amounts,
	// some of which are written with a decimal point.
	MaxFDs float64 `json:",omitempty"`
	// The following fields limit what callers, and slow readers, can take of the
	// process. Zero means a default, which CallerLimits computes.

	// MaxConns is the maximum number of callers' connections.
	MaxConns int `json:",omitempty"`
	// SmallBodyMemoryMB is the memory for bodies of requests up to SmallBodyBytes,
	// BodyMemoryMB that for larger ones.
	SmallBodyMemoryMB float64 `json:",omitempty"`
	BodyMemoryMB      float64 `json:",omitempty"`
	// ResponseMemoryMB is the memory for large responses that are not streams.
	ResponseMemoryMB float64 `json:",omitempty"`
	// StreamMemoryMB is the memory for the events of streams that callers have not
	// read yet, StreamBufferKB that for the events of one stream.
	StreamMemoryMB float64 `json:",omitempty"`
	StreamBufferKB float64 `json:",omitempty"`
	// HeaderMemoryMB is the memory for headers with very many lines.
	HeaderMemoryMB float64 `json:",omitempty"`
	// HeaderWait is how long a header waits for that memory.
	HeaderWait declaration.Duration `json:",omitempty"`
	// BodyPause is the longest time without a byte of a body, BodyTime the longest
	// time for the whole body. The deadline of the request ends a body too.
	BodyPause declaration.Duration `json:",omitempty"`
	BodyTime  declaration.Duration `json:",omitempty"`
	// WritePause is the longest time for which a caller takes no byte of a response.
	WritePause declaration.Duration `json:",omitempty"`
	// MaxPeerConns is the maximum number of connections of other hosts, PeerMemoryMB the
	// memory for their incomplete messages.
	MaxPeerConns int     `json:",omitempty"`
	PeerMemoryMB float64 `json:",omitempty"`
}

// heapFraction is the garbage collector's soft limit as a fraction of the
// process's memory; bytesPerMB is the size of the platform's megabyte.
const (
	heapFraction = 0.5
	bytesPerMB   = 1e6
)

// SoftMemoryBytes returns the soft memory limit of the garbage collector: as the
// heap grows towards it, collections become more frequent.
func (g *Gateway) SoftMemoryBytes() int64 { return int64(heapFraction * bytesPerMB * g.MemoryMB) }

// LoadGateway reads and checks the file. Its errors are like those of Load.
func LoadGateway(file string) (*Gateway, error) {
	src, err := declaration.ReadSource(file)
	if err != nil {
		return nil, err
	}
	return decodeGateway(src)
}

// ParseGateway is like LoadGateway for text; file only appears in messages.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	return decodeGateway(declaration.ParseSource(file, text))
}

func decodeGateway(src *declaration.Source) (*Gateway, error) {
	g := &Gateway{}
	src.Decode(g)
	if !src.Valid() {
		return nil, src.Problems()
	}
	return g, nil
}

// NeedsRestart reports whether g differs from the settings with which a host was started in
// a field that takes effect at a start alone.
func (g *Gateway) NeedsRestart(started *Gateway) bool {
	return g.StoreAddr != started.StoreAddr || g.CallerAddr != started.CallerAddr || g.PeerAddr != started.PeerAddr ||
		g.PlacementPolicy != started.PlacementPolicy || g.StageAdmission != started.StageAdmission || g.SendPriorities != started.SendPriorities
}

// Limits on the values of a gateway's settings.
const (
	minMemoryMB     = 32
	maxPort         = 1<<16 - 1
	minGracePeriod  = time.Second
	minRepeatWindow = time.Second
)

// placementPolicies holds the valid values of PlacementPolicy.
var placementPolicies = []string{"", "Prefill", "Work"}

// stageAdmissions holds the valid values of StageAdmission.
var stageAdmissions = []string{"", "Estimate", "Forecast", "Reservation"}

// Check reports the invalid fields of g.
func (g *Gateway) Check(r *declaration.Reporter) {
	checkName(r, g.Name)
	for _, a := range []struct {
		field string
		addr  netip.AddrPort
	}{{"CallerAddr", g.CallerAddr}, {"ReadyAddr", g.ReadyAddr}, {"PeerAddr", g.PeerAddr}, {"StoreAddr", g.StoreAddr}} {
		if !a.addr.IsValid() {
			r.Report(a.field, "must be an address and port such as \"10.0.0.1:80\"")
		}
	}
	if g.MetricsPort < 1 || g.MetricsPort > maxPort {
		r.Report("MetricsPort", "must be 1 to %d, is %d", maxPort, g.MetricsPort)
	}
	if g.MemoryMB < minMemoryMB {
		r.Report("MemoryMB", "must be at least %d, is %v", minMemoryMB, g.MemoryMB)
	}
	if time.Duration(g.GracePeriod) < minGracePeriod {
		r.Report("GracePeriod", "must be at least %v, is %v", minGracePeriod, time.Duration(g.GracePeriod))
	}
	if time.Duration(g.RepeatWindow) < minRepeatWindow {
		r.Report("RepeatWindow", "must be at least %v, is %v", minRepeatWindow, time.Duration(g.RepeatWindow))
	}
	if g.ApplyTime <= 0 {
		r.Report("ApplyTime", "must be positive")
	}
	if g.CPUShare <= 0 || g.CPUSpeed <= 0 || g.LinkMbps <= 0 {
		r.Report("CPUShare", "must be positive, as must be CPUSpeed and LinkMbps")
	}
	if g.RepeatRatio < 0 || g.RepeatSlack < 0 {
		r.Report("RepeatRatio", "must not be negative, nor RepeatSlack")
	}
	if g.ColdFactor < 0 || g.ColdSlack < 0 {
		r.Report("ColdFactor", "must not be negative, nor ColdSlack")
	}
	if !slices.Contains(placementPolicies, g.PlacementPolicy) {
		r.Report("PlacementPolicy", "must be \"Prefill\" or \"Work\", is %q", g.PlacementPolicy)
	}
	if !slices.Contains(stageAdmissions, g.StageAdmission) {
		r.Report("StageAdmission", "must be \"Estimate\", \"Forecast\" or \"Reservation\", is %q", g.StageAdmission)
	}
	g.checkCallerLimits(r)
	if len(g.Peers) > maxPeers {
		r.Report("Peers", "must be at most %d, are %d", maxPeers, len(g.Peers))
	}
}
