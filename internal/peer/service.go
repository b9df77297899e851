package peer

import "errors"

// rpcName is the name of the RPC service of an Exchange.
const rpcName = "Peer"

// Names of the RPC methods.
const (
	beatMethod  = rpcName + ".Beat"
	pushMethod  = rpcName + ".Push"
	syncMethod  = rpcName + ".Sync"
	probeMethod = rpcName + ".Probe"
)

// Beat is a heartbeat. A host sends its own to a neighbour, which replies with
// its own.
type Beat struct {
	Name        string
	Incarnation int64
	Version     int64
	// Offset is the log offset of the configuration in force at the host.
	Offset int64
	// Members and Notes are digests of the host's member table and stored notes.
	Members uint64
	Notes   uint64
}

// Push carries new updates and notes.
type Push struct {
	Updates []Update
	Notes   []Note
}

// PushReply is empty.
type PushReply struct{}

// Sync carries the caller's whole table and the IDs of the notes that it has.
type Sync struct {
	Updates []Update
	NoteIDs []string
}

// SyncReply carries the callee's whole table and the notes that the caller
// lacks.
type SyncReply struct {
	Updates []Update
	Notes   []Note
}

// Probe asks a host to send a heartbeat to another one.
type Probe struct {
	Host Host
}

// ProbeReply says whether the probed host replied.
type ProbeReply struct {
	Answered bool
}

// errNotRunning is returned by calls to an Exchange whose Run has ended.
var errNotRunning = errors.New("peer: the exchange is not running")

// Service is the RPC service of an Exchange; Exchange.Register registers it.
type Service struct {
	x *Exchange
}

// Beat handles a heartbeat and replies with the host's own.
func (s *Service) Beat(args Beat, reply *Beat) error {
	return s.x.do(func() {
		s.x.handleBeat(args)
		*reply = s.x.beat()
	})
}

// Push merges updates and notes.
func (s *Service) Push(args Push, _ *PushReply) error {
	return s.x.do(func() { s.x.merge(args.Updates, args.Notes) })
}

// Sync merges the caller's table and replies with the local one and the notes
// that the caller lacks.
func (s *Service) Sync(args Sync, reply *SyncReply) error {
	return s.x.do(func() {
		s.x.merge(args.Updates, nil)
		reply.Updates = s.x.table.updates()
		reply.Notes = s.x.notes.missing(args.NoteIDs, s.x.Clock.Now())
	})
}

// Probe sends a heartbeat on behalf of a host that got no reply itself.
func (s *Service) Probe(args Probe, reply *ProbeReply) error {
	s.x.Clock.Now() // blocks while the host is suspended
	reply.Answered = s.x.ping(args.Host) == nil
	return nil
}
