package settings

import (
	"syscall"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// SmallBodyBytes is the maximum size of bodies whose memory is separate from that of larger
// ones, so that large bodies can't make small ones fail.
const SmallBodyBytes = 64 << 10

// CallerLimits holds the limits on what callers, including slow readers, and other hosts can
// take of a process.
type CallerLimits struct {
	MaxConns int
	// PeerConns is the maximum number of connections of other hosts, PeerBytes the memory
	// for their incomplete messages.
	PeerConns int
	PeerBytes int64
	// The memory for bodies of requests, responses, events that callers have not
	// read, the events of one stream, and lines of headers.
	SmallBodyBytes, BodyBytes, ResponseBytes, StreamBytes, StreamBufferBytes, HeaderBytes int64
	HeaderWait, BodyPause, BodyTime, WritePause                                           time.Duration
}

// Defaults of CallerLimits. The shares of MemoryMB for bodies, responses, streams and headers
// add up to less than heapFraction, which leaves room for the garbage collector.
const (
	// An eighth of 128 MB holds 244 bodies of SmallBodyBytes, or three of 4 MiB.
	smallBodyMemoryShare = 0.125
	bodyMemoryShare      = 0.125
	responseMemoryShare  = 0.125
	streamMemoryShare    = 0.05
	headerMemoryShare    = 0.05
	streamBufferBytes    = 256 << 10

	// defaultHeaderWait exceeds the configurations' headerTimeoutMs of 3 s, after which a
	// header that does not end returns its memory.
	defaultHeaderWait = 5 * time.Second
	// defaultBodyPause exceeds the pauses of TCP after several losses in a row.
	defaultBodyPause = 10 * time.Second
	defaultBodyTime  = 10 * time.Minute
	// defaultWritePause exceeds the time in which a caller that reads 20 KB/s takes a
	// sixteenth of a receive buffer of 6 MiB, the least after which its kernel accepts more.
	defaultWritePause = 30 * time.Second
)

// CallerLimits returns the limits that are in force. granted is the size in bytes of the
// receive buffers that the kernel has granted, or zero if it is unknown.
func (g *Gateway) CallerLimits(granted int) CallerLimits {
	bytes := func(mb, share float64) int64 {
		if mb == 0 {
			mb = share * g.MemoryMB
		}
		return int64(mb * bytesPerMB)
	}
	l := CallerLimits{
		MaxConns:          g.MaxConns,
		PeerConns:         g.MaxPeerConns,
		PeerBytes:         bytes(g.PeerMemoryMB, peerMemoryShare),
		SmallBodyBytes:    bytes(g.SmallBodyMemoryMB, smallBodyMemoryShare),
		BodyBytes:         bytes(g.BodyMemoryMB, bodyMemoryShare),
		ResponseBytes:     bytes(g.ResponseMemoryMB, responseMemoryShare),
		StreamBytes:       bytes(g.StreamMemoryMB, streamMemoryShare),
		HeaderBytes:       bytes(g.HeaderMemoryMB, headerMemoryShare),
		StreamBufferBytes: int64(g.StreamBufferKB * bytesPerKB),
		HeaderWait:        orDefault(g.HeaderWait, defaultHeaderWait),
		BodyPause:         orDefault(g.BodyPause, defaultBodyPause),
		BodyTime:          orDefault(g.BodyTime, defaultBodyTime),
		WritePause:        orDefault(g.WritePause, defaultWritePause),
	}
	if l.MaxConns == 0 {
		l.MaxConns = g.defaultMaxConns(int64(granted))
	}
	if l.PeerConns == 0 {
		l.PeerConns = g.defaultPeerConns(l.MaxConns)
	}
	if l.StreamBufferBytes == 0 {
		l.StreamBufferBytes = streamBufferBytes
	}
	return l
}

// bytesPerKB is the size of the kilobyte in settings.
const bytesPerKB = 1e3

func orDefault(d declaration.Duration, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}

// maxFDs returns the number of descriptors that the process may open.
func (g *Gateway) maxFDs() float64 {
	if g.MaxFDs > 0 {
		return g.MaxFDs
	}
	return processFDs()
}

// processFDs returns the number of descriptors under which the process was started.
func processFDs() float64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		// Getrlimit fails only for an invalid argument.
		return minFDs
	}
	return float64(min(limit.Cur, maxFDs))
}

// Limits on MaxFDs: below minFDs a host could hardly have a connection to each other
// host, and Linux allows maxFDs at most.
const (
	minFDs = 256
	maxFDs = 1 << 20
)

// checkCallerLimits reports the invalid limits on callers.
func (g *Gateway) checkCallerLimits(r *declaration.Reporter) {
	if g.MaxFDs != 0 && (g.MaxFDs < minFDs || g.MaxFDs > maxFDs) {
		r.Report("MaxFDs", "must be %d to %d, or 0 for the limit of the process, is %v", minFDs, maxFDs, g.MaxFDs)
	}
	if g.MaxConns < 0 {
		r.Report("MaxConns", "must not be negative, is %d", g.MaxConns)
	}
	if g.MaxPeerConns < 0 {
		r.Report("MaxPeerConns", "must not be negative, is %d", g.MaxPeerConns)
	}
	for _, m := range []struct {
		field string
		value float64
	}{
		{"SmallBodyMemoryMB", g.SmallBodyMemoryMB}, {"BodyMemoryMB", g.BodyMemoryMB}, {"ResponseMemoryMB", g.ResponseMemoryMB},
		{"StreamMemoryMB", g.StreamMemoryMB}, {"StreamBufferKB", g.StreamBufferKB / 1e3}, {"HeaderMemoryMB", g.HeaderMemoryMB},
		{"PeerMemoryMB", g.PeerMemoryMB},
	} {
		if m.value < 0 || m.value > g.MemoryMB {
			r.Report(m.field, "must not be negative or exceed MemoryMB")
		}
	}
	for _, d := range []struct {
		field string
		value declaration.Duration
	}{{"HeaderWait", g.HeaderWait}, {"BodyPause", g.BodyPause}, {"BodyTime", g.BodyTime}, {"WritePause", g.WritePause}} {
		if d.value < 0 {
			r.Report(d.field, "must not be negative, is %v", time.Duration(d.value))
		}
	}
}
