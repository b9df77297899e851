// Package settings reads the settings file of a host, which is JSON with comments.
// Settings holds those of a host, Gateway those of a gateway process, which is a
// host on the users' platform.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/netip"
	"os"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// Settings holds the settings of a host process.
type Settings struct {
	// Name is unique among the hosts.
	Name   string
	Domain string
	// CallerAddr is where callers connect, PeerAddr where other hosts do.
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	Peers      []Peer `json:",omitempty"`
	// LogAddr and HostListAddr are the addresses of the platform's services.
	LogAddr      netip.AddrPort
	HostListAddr netip.AddrPort `json:",omitzero"`
	// Policy names the queue policy; empty means SharedQueue.
	Policy string `json:",omitempty"`
	// SnapshotAge is the age at which a log record that the document still needs is
	// covered by a snapshot; it must be well below the log's retention.
	SnapshotAge declaration.Duration `json:",omitempty"`
	// PeerTLS secures the links among hosts, PlatformTLS those to the platform, by
	// mutual TLS. A link without it is plain TCP.
	PeerTLS     *TLS `json:",omitempty"`
	PlatformTLS *TLS `json:",omitempty"`
	// DrainDelay is the time between reporting not ready and refusing new work.
	DrainDelay declaration.Duration `json:",omitempty"`
	// DrainTimeout bounds the wait for requests and peer calls in a graceful shutdown.
	DrainTimeout declaration.Duration `json:",omitempty"`
	// MaxConns is the maximum number of callers' connections. Zero means a default, which
	// MaxConnections computes.
	MaxConns int `json:",omitempty"`
	// MaxPeerConns is the maximum number of connections of other hosts. Zero means a
	// default, which MaxPeerConnections computes.
	MaxPeerConns int `json:",omitempty"`
}

// Peer is another host that this one contacts first.
type Peer struct {
	Name   string
	Addr   netip.AddrPort
	Domain string `json:",omitempty"`
}

// TLS names the PEM files for one kind of link. They are reloaded when they
// change.
type TLS struct {
	CertFile string
	KeyFile  string
	// CAFile holds the root certificates that the other side's certificate must
	// chain to.
	CAFile string
}

// Defaults of omitted fields.
const (
	DefaultSnapshotAge  = time.Hour
	DefaultDrainDelay   = 2 * time.Second
	DefaultDrainTimeout = 30 * time.Second
)

// Defaults of MaxConns and MaxPeerConns.
const (
	// defaultMaxConns is a quarter more than the requests that a host runs at most (8,192),
	// so that callers may keep idle connections. At 35 KB each, as with a header that stops
	// after 15 KB, they take a third of the soft memory limit of 1 GiB.
	defaultMaxConns = 10240
	// serveFDShare is the part of the descriptors beyond reservedFDs that callers'
	// connections may take. A request needs as many at its targets.
	serveFDShare = 0.5
	// servePeerFDShare is the part for connections of other hosts, of which at most
	// maxServePeerConns are allowed: two for each host, as one that has gone silent is
	// replaced before it ends.
	servePeerFDShare  = 0.2
	maxServePeerConns = 2 * maxPeers
)

// Limits on the values in a settings file.
const (
	maxPeers = 1024
	maxDrain = time.Hour
	// minSnapshotAge keeps hosts from writing snapshots continuously.
	minSnapshotAge = time.Second
)

// Load reads and checks the file. Its error is a declaration.Problems with the
// place of every fault, or reports that the file can't be read.
func Load(file string) (*Settings, error) {
	src, err := declaration.ReadSource(file)
	if err != nil {
		return nil, err
	}
	return decode(src)
}

// Parse is like Load for text; file only appears in messages.
func Parse(file string, text []byte) (*Settings, error) {
	return decode(declaration.ParseSource(file, text))
}

func decode(src *declaration.Source) (*Settings, error) {
	s := &Settings{}
	src.Decode(s)
	if !src.Valid() {
		return nil, src.Problems()
	}
	s.SetDefaults()
	return s, nil
}

// Check reports the invalid fields of s.
func (s *Settings) Check(r *declaration.Reporter) {
	checkName(r, s.Name)
	if len(s.Peers) > maxPeers {
		r.Report("Peers", "must be at most %d, are %d", maxPeers, len(s.Peers))
	}
	seen := map[string]bool{s.Name: true}
	for _, p := range s.Peers {
		if seen[p.Name] {
			r.Report("Peers", "two hosts are named %q; the names of hosts must differ", p.Name)
		}
		seen[p.Name] = true
	}
	if s.CallerAddr == s.PeerAddr && s.PeerAddr.IsValid() {
		r.Report("PeerAddr", "must differ from CallerAddr")
	}
	if s.MaxConns < 0 {
		r.Report("MaxConns", "must not be negative, is %d", s.MaxConns)
	}
	if s.MaxPeerConns < 0 {
		r.Report("MaxPeerConns", "must not be negative, is %d", s.MaxPeerConns)
	}
	checkDrainTime(r, "DrainDelay", s.DrainDelay)
	checkDrainTime(r, "DrainTimeout", s.DrainTimeout)
	if d := time.Duration(s.SnapshotAge); d != 0 && d < minSnapshotAge {
		r.Report("SnapshotAge", "must be at least %v, is %v", minSnapshotAge, d)
	}
}

func checkDrainTime(r *declaration.Reporter, field string, d declaration.Duration) {
	if d < 0 || time.Duration(d) > maxDrain {
		r.Report(field, "must be 0s to %v, is %v", maxDrain, time.Duration(d))
	}
}

func checkName(r *declaration.Reporter, name string) {
	if !declaration.ValidName(name) {
		r.Report("Name", "%s", declaration.NameRule)
	}
}

// Check reports the invalid fields of p.
func (p *Peer) Check(r *declaration.Reporter) { checkName(r, p.Name) }

// Check reports the files of t that can't be used.
func (t *TLS) Check(r *declaration.Reporter) {
	if _, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile); err != nil {
		r.Report("CertFile", "must name a PEM file with the certificate of KeyFile: %v", err)
	}
	pem, err := os.ReadFile(t.CAFile)
	if err == nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
		err = errors.New("the file contains no certificate")
	}
	if err != nil {
		r.Report("CAFile", "must name a PEM file with the certificates to trust: %v", err)
	}
}

// SetDefaults sets omitted fields to their defaults.
func (s *Settings) SetDefaults() {
	if s.SnapshotAge == 0 {
		s.SnapshotAge = declaration.Duration(DefaultSnapshotAge)
	}
	if s.DrainDelay == 0 {
		s.DrainDelay = declaration.Duration(DefaultDrainDelay)
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = declaration.Duration(DefaultDrainTimeout)
	}
}

// MaxConnections returns the maximum number of callers' connections.
func (s *Settings) MaxConnections() int {
	if s.MaxConns > 0 {
		return s.MaxConns
	}
	return defaultConnections(processFDs())
}

// defaultConnections returns the default of MaxConns in a process with so many descriptors.
func defaultConnections(fds float64) int {
	return max(1, min(defaultMaxConns, int(serveFDShare*(fds-reservedFDs))))
}

// MaxPeerConnections returns the maximum number of connections of other hosts.
func (s *Settings) MaxPeerConnections() int {
	if s.MaxPeerConns > 0 {
		return s.MaxPeerConns
	}
	return max(1, min(maxServePeerConns, int(servePeerFDShare*(processFDs()-reservedFDs))))
}
