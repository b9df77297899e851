package site

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// reservedPorts is the machine's TCP network with listeners that are opened
// before the hosts start, so that no other process takes the ports in between.
type reservedPorts struct {
	link.TCP
	mu        sync.Mutex
	listeners map[netip.AddrPort]net.Listener
}

// reserve opens a listener on a free port and returns its address.
func (r *reservedPorts) reserve() (netip.AddrPort, error) {
	l, err := r.TCP.Listen(Loopback)
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listeners == nil {
		r.listeners = map[netip.AddrPort]net.Listener{}
	}
	r.listeners[addr] = l
	return addr, nil
}

// Listen returns the reserved listener of addr on the first call, and opens a
// new one otherwise.
func (r *reservedPorts) Listen(addr netip.AddrPort) (net.Listener, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.listeners[addr]; l != nil {
		delete(r.listeners, addr)
		return l, nil
	}
	return r.TCP.Listen(addr)
}

// drainDelay is one nanosecond, since no load balancer has to notice the drain;
// zero would select the default.
const drainDelay = 1

// hostSettings reserves the ports of host i and returns its settings.
func (r *reservedPorts) hostSettings(i int) (*settings.Settings, error) {
	callers, err := r.reserve()
	if err != nil {
		return nil, err
	}
	peers, err := r.reserve()
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Name:       fmt.Sprintf("host-%d", i+1),
		Domain:     domains[i%len(domains)],
		CallerAddr: callers,
		PeerAddr:   peers,
		DrainDelay: declaration.Duration(drainDelay),
	}
	s.SetDefaults()
	return s, nil
}
