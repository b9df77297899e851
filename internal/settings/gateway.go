package settings

import (
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Gateway is what a gateway process is told about itself and its surroundings.
type Gateway struct {
	// Name is unique among the hosts.
	Name   string
	Domain string
	// CallerAddr is where callers connect, ReadyAddr where the balancer asks
	// whether this host takes new connections, PeerAddr where other hosts connect.
	CallerAddr netip.AddrPort
	ReadyAddr  netip.AddrPort
	PeerAddr   netip.AddrPort
	// MetricsPort serves counters and histograms.
	MetricsPort int
	// Peers are the PeerAddr of hosts to contact first; some may be gone.
	Peers []netip.AddrPort `json:",omitempty"`
	// StoreAddr is the platform's store.
	StoreAddr netip.AddrPort
	// CPUShare is the share of a core that the process may use, CPUSpeed how fast
	// that core is against a usual one, LinkMbps the host's bandwidth in Mbit/s.
	CPUShare float64
	CPUSpeed float64
	LinkMbps float64
	// MemoryMB is what the process may use.
	MemoryMB float64
	// GracePeriod is the time between the order to stop and the forced end.
	GracePeriod declaration.Duration
	// ApplyTime is the time in which a change of the configuration or of a target
	// has to be in force. SettleTime is the time after a disruption from which on
	// that holds.
	ApplyTime  declaration.Duration
	SettleTime declaration.Duration
	// RepeatRatio and RepeatSlack bound the repeated sends to a service of all
	// hosts together in any RepeatWindow: the ratio of its requests, plus the
	// slack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow declaration.Duration
}

// heapShare is the part of the process's memory that the heap may grow to before
// it is collected more often; bytesPerMB is the platform's megabyte.
const (
	heapFraction = 0.5
	bytesPerMB   = 1e6
)

// SoftMemoryBytes is the size of the heap towards which it is collected more
// often.
func (g *Gateway) SoftMemoryBytes() int64 { return int64(heapFraction * bytesPerMB * g.MemoryMB) }

// LoadGateway reads and checks the file. Its error is as that of Load.
func LoadGateway(file string) (*Gateway, error) {
	src, err := declaration.ReadSource(file)
	if err != nil {
		return nil, err
	}
	return decodeGateway(src)
}

// ParseGateway is LoadGateway on a text; file is for messages alone.
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

// Bounds of a gateway's settings.
const (
	minMemoryMB     = 32
	maxPort         = 1<<16 - 1
	minGracePeriod  = time.Second
	minRepeatWindow = time.Second
)

// Check reports what is wrong with g.
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
	if g.ApplyTime <= 0 || g.SettleTime < 0 {
		r.Report("ApplyTime", "must be positive, and SettleTime not negative")
	}
	if g.CPUShare <= 0 || g.CPUSpeed <= 0 || g.LinkMbps <= 0 {
		r.Report("CPUShare", "must be positive, as must be CPUSpeed and LinkMbps")
	}
	if g.RepeatRatio < 0 || g.RepeatSlack < 0 {
		r.Report("RepeatRatio", "must not be negative, nor RepeatSlack")
	}
	if len(g.Peers) > maxPeers {
		r.Report("Peers", "must be at most %d, are %d", maxPeers, len(g.Peers))
	}
}
