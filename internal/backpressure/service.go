package backpressure

import (
	"net/rpc"
	"time"
)

// rpcName is the name of the holder's RPC service.
const rpcName = "Quota"

// Renewal leases a host's share of the limits of a service to a holder, or returns it.
type Renewal struct {
	Host, Service string
	// Hosts is the number of hosts that share the limits as the host knows it.
	Hosts int
	// Limits are the limits in force as the host knows them.
	Limits []Update
	// Cold holds the notices of the service's targets that the host considers cold.
	Cold []ColdNotice
	// Fresh is set shortly after the host's process has started, while a lease of its
	// former process may still be in force at another holder.
	Fresh bool
	// Return ends the lease.
	Return bool
}

// Ask asks for a turn at one of some targets.
type Ask struct {
	Service string
	// Targets are in the order of preference.
	Targets []Candidate
	// MaxWait is the longest time that the request can wait.
	MaxWait time.Duration
	// Cold holds the notices of those of Targets that the host considers cold.
	Cold []ColdNotice
}

// Candidate is an incarnation of a target.
type Candidate struct {
	ID   string
	Born int64
}

// Grant is the reply to Ask.
type Grant struct {
	// Target is the ID of the target to which the request may go after Wait, or empty.
	Target string
	// Wait is, without a target, the time until a request may go.
	Wait time.Duration
	// Cold is set if the turn was granted at the rate of a cold target.
	Cold bool
}

// Service is the RPC service of a Holder.
type Service struct{ holder *Holder }

// Empty is an empty reply.
type Empty struct{}

// Renew renews or ends a host's lease.
func (s *Service) Renew(r *Renewal, _ *Empty) error {
	s.holder.renew(r)
	return nil
}

// Take replies with the target to which a request may go.
func (s *Service) Take(a *Ask, reply *Grant) error {
	*reply = s.holder.take(a)
	return nil
}

// Register adds the holder's RPC service to s.
func (h *Holder) Register(s *rpc.Server) error { return s.RegisterName(rpcName, &Service{h}) }
