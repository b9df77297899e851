package stage

// Service is the RPC service of a Batcher.
type Service struct{ batcher *Batcher }

// Empty is an empty argument or reply.
type Empty struct{}

// Run runs a job of another host.
func (s *Service) Run(j *Job, reply *Outcome) error {
	*reply = s.batcher.submitRemote(*j)
	return nil
}

// Cancel cancels a job of another host.
func (s *Service) Cancel(id *string, _ *Empty) error {
	s.batcher.Cancel(*id)
	return nil
}

// Free frees results.
func (s *Service) Free(results *[]Result, _ *Empty) error {
	s.batcher.Free(*results)
	return nil
}

// SignOfLife is the heartbeat that a host sends to the batchers that have its
// jobs.
type SignOfLife struct {
	Host string
	// Coming is the number of pieces that earlier stages of the host's requests
	// will send, by service.
	Coming map[string]int
	// Reserves reports whether Reservations is complete. Hosts of a former version don't
	// set it.
	Reserves bool
	// Reservations are the open reservations of the host at this holder, with the times
	// that remain.
	Reservations []Reservation
}

// Reserve grants or refuses the capacity for the stages of a request.
func (s *Service) Reserve(a *ReserveArgs, reply *ReserveReply) (err error) {
	*reply, err = s.batcher.reserve(*a, true)
	return err
}

// Release gives back reservations.
func (s *Service) Release(a *ReleaseArgs, _ *Empty) error { return s.batcher.release(*a) }

// Ping answers a heartbeat with the wait estimates of the services.
func (s *Service) Ping(r *SignOfLife, reply *map[string]Outlook) error {
	*reply = s.batcher.waitEstimates(*r)
	return nil
}
