package host

import (
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
)

func providePeerCaller(s *settings.Settings, n link.Network) *peer.Caller {
	return &peer.Caller{Net: peerNetwork(s, n)}
}

func provideFollower(s *settings.Settings, log platform.Log, c *clock.Service, caller *peer.Caller) *section.Follower {
	return &section.Follower{Log: log, Clock: c, Caller: caller, SnapshotAge: time.Duration(s.SnapshotAge)}
}

// peerNetwork returns the network to other hosts.
func peerNetwork(s *settings.Settings, n link.Network) link.Network { return withTLS(s.PeerTLS, n) }

// platformNetwork returns the network to the platform's services.
func platformNetwork(s *settings.Settings, n link.Network) link.Network {
	return withTLS(s.PlatformTLS, n)
}

// withTLS returns n secured with t, or n itself if t is nil.
func withTLS(t *settings.TLS, n link.Network) link.Network {
	if t == nil {
		return n
	}
	return &link.TLS{Network: n, CertFile: t.CertFile, KeyFile: t.KeyFile, CAFile: t.CAFile}
}
