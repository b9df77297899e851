package link

import (
	"net"
	"net/netip"
)

// Sources counts the open connections of each address from which they come, to find those
// that hold more than their share. Its methods must not run at the same time.
type Sources struct {
	conns map[netip.Addr]int
}

// heavyShare is the part of all allowed connections above which one address holds more than
// its share.
const heavyShare = 1.0 / 8

// SourceOf returns the address from which conn comes, or an invalid one if it has none.
func SourceOf(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Add counts a connection from addr.
func (s *Sources) Add(addr netip.Addr) {
	if s.conns == nil {
		s.conns = map[netip.Addr]int{}
	}
	s.conns[addr]++
}

// Remove ends the count of a connection from addr.
func (s *Sources) Remove(addr netip.Addr) {
	if s.conns[addr]--; s.conns[addr] <= 0 {
		delete(s.conns, addr)
	}
}

// Excess returns the number of connections from addr if that is more than its share of max
// connections, or zero. Connections from the address with the largest excess are the first
// to be closed when there are too many: those that are kept idle by callers with few
// must not give way to one that opens many.
func (s *Sources) Excess(addr netip.Addr, max int) int {
	if n := s.conns[addr]; float64(n) > heavyShare*float64(max) {
		return n
	}
	return 0
}
