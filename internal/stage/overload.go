package stage

import "time"

// The decision of this file answers a burst that arrives before the hosts' estimates
// show it: jobs that can be on time take the pool for themselves, and those that
// can't wait behind them. One that would end after its deadline even if no other job
// arrived ends at once: it would keep its inputs in scarce memory and its caller in
// doubt until the caller leaves.

// hopeless returns the deferred or critical jobs without a started piece that would end
// after their deadline. The jobs must be in the order of the last call of order.
func (q *queue) hopeless(now time.Time) []*job {
	var out []*job
	ahead := time.Duration(0)
	for _, j := range q.jobs {
		work := q.workTime(j)
		end := now.Add(ahead + work + q.callTimeAtOrder)
		if (j.deferred || j.critical) && j.sent == 0 && end.After(j.deadline) {
			out = append(out, j)
			continue
		}
		ahead += work
	}
	return out
}
