package stage

import (
	"container/heap"
	"sort"
	"time"
)

// worthWeight is the weight of the newest job in the mean worth of its rank.
const worthWeight = 0.05

// order sorts the jobs: first those that are to be on time, by due time, then
// the others. When not all can be on time, those worth least for the time that
// they take are left behind (the rule of Moore and Hodgson, with weights): in
// the order of due times, whenever a job would be late, the least worthy one
// among those so far goes.
func (q *queue) order(now time.Time) {
	sort.SliceStable(q.jobs, func(i, k int) bool { return q.jobs[i].due.Before(q.jobs[k].due) })
	q.callTimeAtOrder = q.callTime()
	piece, call := q.perPiece(), q.callTimeAtOrder
	end := now
	var kept jobHeap
	for _, j := range q.jobs {
		if len(j.waiting) == 0 {
			continue
		}
		j.deferred = tooLate(j, call, now)
		if j.deferred {
			continue
		}
		heap.Push(&kept, j)
		end = end.Add(time.Duration(len(j.waiting)) * piece)
		for end.Add(call).After(j.due) && len(kept) > 0 {
			least := heap.Pop(&kept).(*job)
			least.deferred = true
			end = end.Add(-time.Duration(len(least.waiting)) * piece)
		}
	}
	sort.SliceStable(q.jobs, func(i, k int) bool { return !q.jobs[i].deferred && q.jobs[k].deferred })
}

// jobHeap has the job that is worth least for its pieces on top.
type jobHeap []*job

// Len is the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether job i is worth less for its pieces than job k.
func (h jobHeap) Less(i, k int) bool { return h[i].worthPerPiece() < h[k].worthPerPiece() }

// Swap swaps two jobs.
func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds a job.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// density is what j is worth for each piece.
func (j *job) worthPerPiece() float64 { return j.worth / float64(max(1, j.Pieces)) }

// valued sets the worth of a new job against those of other ranks: a more
// urgent rank is worth no less than any that is less urgent.
func (q *queue) setWorth(j *job) {
	if q.meanWorth == nil {
		q.meanWorth = map[int]float64{}
	}
	mean, ok := q.meanWorth[j.Rank]
	if !ok {
		mean = j.Worth
	}
	mean += worthWeight * (j.Worth - mean)
	q.meanWorth[j.Rank] = mean
	most := mean
	for rank, other := range q.meanWorth {
		if rank > j.Rank {
			most = max(most, other)
		}
	}
	j.worth = 1
	if mean > 0 {
		j.worth = j.Worth * most / mean
	}
}
