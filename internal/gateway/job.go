package gateway

import "berylswitch.example/berylswitch/internal/stage"

// job returns the job that runs stage i.
func (p *plan) job(i int, inputs []stage.Result) stage.Job {
	s := &p.q.route.Stages[i]
	now := p.h.Clock.Now()
	j := stage.Job{
		RequestID:  p.q.ID,
		Service:    s.Service,
		Stage:      i,
		Pieces:     p.pieceCount(i),
		Due:        p.q.softDeadline().Sub(now) - p.remainingTime(i),
		Left:       p.q.usefulUntil().Sub(now) - p.leastRemainingTime(i),
		Rank:       p.q.priority,
		Worth:      p.q.worth(),
		PieceBytes: s.ResultBytes,
		Domains:    p.q.domains,
		Workspace:  p.q.workspace,
	}
	for _, r := range inputs {
		j.Inputs = append(j.Inputs, r.Handle)
	}
	j.Domain, j.MoveBytes = p.preferredDomain(i, inputs)
	if len(s.After) == 0 {
		j.Key = p.q.PieceKey
	}
	p.takeUpReservation(&j, now)
	return j
}

// preferredDomain returns the failure domain in which stage i transfers the fewest
// bytes, and the number of bytes that are saved there. Each piece reads all
// inputs; the results of a sink are read once, where the request will run.
func (p *plan) preferredDomain(i int, inputs []stage.Result) (string, int64) {
	pieces := int64(p.pieceCount(i))
	bytes := map[string]int64{}
	for _, r := range inputs {
		bytes[r.Domain] += pieces * r.Bytes
	}
	if p.readers[i] == 0 && p.targetDomain != "" {
		bytes[p.targetDomain] += pieces * p.q.route.Stages[i].ResultBytes
	}
	domain, most := "", int64(0)
	for d, n := range bytes {
		if n > most || n == most && d < domain {
			domain, most = d, n
		}
	}
	return domain, most
}

// pieceCount returns the number of pieces of stage i.
func (p *plan) pieceCount(i int) int {
	if i < len(p.q.Pieces) {
		return p.q.Pieces[i]
	}
	return 0
}
