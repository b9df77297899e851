package settings

import (
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// This file owns what connections may hold of a host, from their accept to their end.
//
// A caller's connection:
//
//   - a descriptor and connProcessBytes of memory for its buffers, stacks and header, all
//     its life; the number of connections is limited by MaxConns;
//   - unread bytes up to CallerReceiveBuffer.MostUnread, all its life, since the kernel
//     takes bytes also while the host doesn't read; from the first large body on up to
//     BodyReceiveBuffer.MostUnread if BodyBytes has room, which counts the difference until
//     the connection ends;
//   - header lines beyond the usual ones, within HeaderBytes, until the request is answered;
//   - the body of one request, within SmallBodyBytes or BodyBytes, until the request is
//     answered. All sends of the request share it, and no other host gets a copy;
//   - the response, within ResponseBytes or StreamBytes, until the caller has taken it, and
//     unread bytes of the target's connection up to TargetReceiveBuffer.MostUnread.
//
// A connection to the listener for load balancers or for metrics holds a descriptor,
// a header of ProbeHeaderBytes and unread bytes up to CallerReceiveBuffer.MostUnread, for
// at most ProbeTime a request. ProbeConns limits their number at each.
//
// A connection of another host holds a descriptor, unread bytes up to
// CallerReceiveBuffer.MostUnread and one message, within PeerBytes. PeerConns limits their
// number.

// Receive buffers.
const (
	// CallerReceiveBuffer is that of accepted connections, and of those to other hosts. It
	// has room for what a kernel sends before the first acknowledgement, ten segments.
	CallerReceiveBuffer link.ReceiveBuffer = 16 << 10
	// BodyReceiveBuffer lets a large body use a window of 64 KiB, the largest one on a
	// connection that was opened with a small buffer: 640 KB/s over a link of 100 ms.
	BodyReceiveBuffer link.ReceiveBuffer = 64 << 10
	// ServeReceiveBuffer is that of all connections of berylswitch serve, whose callers have
	// 10 s for a body of 4 MiB.
	ServeReceiveBuffer link.ReceiveBuffer = 64 << 10
	// TargetReceiveBuffer is that of connections to targets and the store.
	TargetReceiveBuffer link.ReceiveBuffer = 16 << 10
)

const (
	// connProcessBytes is the memory of the process that a caller's connection takes at
	// most, with the buffers and stacks of its goroutines and a header of maximum size.
	connProcessBytes = 64 << 10
	// connMemoryShare is the part of the memory for all callers' connections, with the
	// unread bytes of these and of those to targets.
	connMemoryShare = 0.3
	// connFDShare is the part of the descriptors besides reservedFDs that callers'
	// connections may take. A request needs one more at its target; other hosts and idle
	// connections to targets share the rest.
	connFDShare = 1.0 / 3
	// reservedFDs are the descriptors for files, listeners, probes and the store.
	reservedFDs = 200

	// ProbeConns is the maximum number of connections to each of the listeners for load
	// balancers and for metrics, ProbeTime the time for a request there, and
	// ProbeHeaderBytes the maximum size of its header.
	ProbeConns       = 32
	ProbeTime        = 3 * time.Second
	ProbeHeaderBytes = 4 << 10

	// peerMemoryShare is the part of the memory for incomplete messages of other hosts.
	peerMemoryShare = 0.05
)

// connBytes returns the memory that a caller's connection may take besides what the limits
// on memory count: in the process, and as unread bytes from the caller and from a target. A
// kernel may grant larger receive buffers than were requested.
func connBytes(granted int64) float64 {
	caller := max(granted, CallerReceiveBuffer.MostUnread())
	target := max(granted, TargetReceiveBuffer.MostUnread())
	return float64(connProcessBytes + caller + target)
}

// defaultMaxConns returns the number of callers' connections for which there are
// descriptors and memory, with receive buffers of the granted size.
func (g *Gateway) defaultMaxConns(granted int64) int {
	byFDs := connFDShare * (g.maxFDs() - reservedFDs)
	byMemory := connMemoryShare * bytesPerMB * g.MemoryMB / connBytes(granted)
	return max(1, int(min(byFDs, byMemory)))
}

// defaultPeerConns returns half of the descriptors that callers' connections, and as many
// to targets, leave.
func (g *Gateway) defaultPeerConns(callerConns int) int {
	const connsPerCaller = 2
	return max(1, (int(g.maxFDs())-reservedFDs-connsPerCaller*callerConns)/2)
}
