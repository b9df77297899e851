// Package settings reads the settings file of a host: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/tailscale/hujson"
)

// Settings is what a process is told about itself and its surroundings.
type Settings struct {
	// Name is unique among the hosts.
	Name   string
	Domain string
	// CallerAddr is where callers connect, PeerAddr where other hosts do.
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	Peers      []Peer `json:",omitempty"`
	// LogAddr and HostListAddr are the platform's services.
	LogAddr      netip.AddrPort
	HostListAddr netip.AddrPort `json:",omitzero"`
	// Policy names the queue policy; empty means SharedQueue.
	Policy string `json:",omitempty"`
	// DrainDelay is the time between not being ready and refusing new work.
	DrainDelay declaration.Duration `json:",omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout declaration.Duration `json:",omitempty"`
}

// Peer is another host that this one contacts first.
type Peer struct {
	Name   string
	Addr   netip.AddrPort
	Domain string `json:",omitempty"`
}

// Default bounds of a shutdown.
const (
	DefaultDrainDelay   = 2 * time.Second
	DefaultDrainTimeout = 30 * time.Second
)

// Load reads and checks the file.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	std, err := hujson.Standardize(src)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s.SetDefaults()
	return s, nil
}

// SetDefaults fills the fields that were left out.
func (s *Settings) SetDefaults() {
	if s.DrainDelay == 0 {
		s.DrainDelay = declaration.Duration(DefaultDrainDelay)
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = declaration.Duration(DefaultDrainTimeout)
	}
}
