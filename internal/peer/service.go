package peer

import "errors"

// serviceName is the name of the exchange among the RPC services of a host.
const serviceName = "Peer"

// Names of the RPC methods.
const (
	beatMethod  = serviceName + ".Beat"
	pushMethod  = serviceName + ".Push"
	syncMethod  = serviceName + ".Sync"
	probeMethod = serviceName + ".Probe"
)

// Beat is the heartbeat that a host sends to one of its neighbours and gets
// back from it.
type Beat struct {
	Name        string
	Incarnation int64
	Version     int64
	// Offset is the offset of the configuration in force at the host.
	Offset int64
	// Members and Notes are digests of what the host believes and remembers.
	Members uint64
	Notes   uint64
}

// Push carries news.
type Push struct {
	Updates []Update
	Notes   []Note
}

// PushReply is empty.
type PushReply struct{}

// Sync carries a host's whole table and the IDs of the notes that it has.
type Sync struct {
	Updates []Update
	NoteIDs []string
}

// SyncReply carries the other's whole table and the notes that were missing.
type SyncReply struct {
	Updates []Update
	Notes   []Note
}

// Probe asks a host to send a heartbeat to another one.
type Probe struct {
	Host Host
}

// ProbeReply says whether the other answered.
type ProbeReply struct {
	Answered bool
}

// errStopped is the answer of an exchange that does not run.
var errNotRunning = errors.New("peer: the exchange is not running")

// Service is the RPC service of an Exchange; register it by Exchange.Register.
type Service struct {
	x *Exchange
}

// Beat answers a heartbeat by the host's own.
func (s *Service) Beat(args Beat, reply *Beat) error {
	return s.x.do(func() {
		s.x.handleBeat(args)
		*reply = s.x.beat()
	})
}

// Push takes news.
func (s *Service) Push(args Push, _ *PushReply) error {
	return s.x.do(func() { s.x.merge(args.Updates, args.Notes) })
}

// Sync exchanges whole tables.
func (s *Service) Sync(args Sync, reply *SyncReply) error {
	return s.x.do(func() {
		s.x.merge(args.Updates, nil)
		reply.Updates = s.x.table.updates()
		reply.Notes = s.x.notes.missing(args.NoteIDs, s.x.Clock.Now())
	})
}

// Probe sends a heartbeat on behalf of a host that got no answer itself.
func (s *Service) Probe(args Probe, reply *ProbeReply) error {
	s.x.Clock.Now()
	reply.Answered = s.x.ping(args.Host) == nil
	return nil
}
