package gateway

import "berylswitch.example/berylswitch/internal/catalog"

// markInputsRead records that s has read its inputs, and frees those that have no
// other readers.
func (p *plan) markInputsRead(s *catalog.Stage) {
	p.mu.Lock()
	var done []int
	for _, before := range s.After {
		if p.pendingReaders[before]--; p.pendingReaders[before] == 0 {
			done = append(done, before)
		}
	}
	p.mu.Unlock()
	p.drop(done)
}

// drop frees the results of the given stages and marks the stages as not run.
func (p *plan) drop(stages []int) {
	for _, i := range stages {
		p.mu.Lock()
		run := p.stages[i]
		p.stages[i] = nil
		p.mu.Unlock()
		if run == nil {
			continue
		}
		go func() {
			<-run.done
			p.h.Stages.Free(run.results)
		}()
	}
}

// dropInputs drops the results that the request itself reads, after one was lost.
func (p *plan) dropInputs() { p.drop(p.sinks) }

// release frees all results, withdraws all announcements and gives back the reservations
// that were not taken up.
func (p *plan) release() {
	p.giveBack()
	all := make([]int, len(p.stages))
	for i := range all {
		all[i] = i
		p.withdrawAnnouncement(i)
	}
	p.drop(all)
}
