package stage

// Service is the RPC service of a Former.
type Service struct{ batcher *Batcher }

// Empty is an empty argument or reply.
type Empty struct{}

// Run runs a job of another host.
func (s *Service) Run(j *Job, reply *Outcome) error {
	*reply = s.batcher.submitRemote(*j)
	return nil
}

// Cancel drops a job of another host.
func (s *Service) Cancel(id *string, _ *Empty) error {
	s.batcher.Cancel(*id)
	return nil
}

// Free drops results.
func (s *Service) Free(results *[]Result, _ *Empty) error {
	s.batcher.Free(*results)
	return nil
}

// SignOfLife is what a host tells the formers that work for it.
type SignOfLife struct {
	Host string
	// Coming is the number of pieces that earlier stages will send, by service.
	Coming map[string]int
}

// Ping answers with the outlooks of the services.
func (s *Service) Ping(r *SignOfLife, reply *map[string]Outlook) error {
	*reply = s.batcher.waitEstimates(*r)
	return nil
}
