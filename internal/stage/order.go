package stage

import (
	"container/heap"
	"sort"
	"time"
)

// The decision of this file is for load peaks: more jobs wait than can be on time, and
// those that are worth least for their pieces are deferred.

// worthWeight is the weight of the newest job in the mean worth of its rank.
const worthWeight = 0.05

// order sorts the jobs: first those that should be on time, by due time, then the
// deferred ones. If not all can be on time, the jobs with the least worth for the
// time that they take are deferred, by the Moore-Hodgson rule with weights: jobs
// are taken in the order of due times, and whenever one would be late, the job
// with the least worth per piece among those taken so far is deferred.
func (q *queue) order(now time.Time) {
	sort.SliceStable(q.jobs, func(i, k int) bool { return q.jobs[i].due.Before(q.jobs[k].due) })
	q.callTimeAtOrder = q.callTime()
	call := q.callTimeAtOrder
	if q.promising {
		q.atOrder = q.capacity(now)
	}
	end := now
	var kept jobHeap
	for _, j := range q.jobs {
		if len(j.waiting) == 0 {
			continue
		}
		j.deferred = tooLate(j, call, now)
		j.over = q.sharing && q.shares.over[j.Workspace]
		j.unitCost = 1
		if q.promising {
			j.unitCost = max(1, float64(q.atOrder.cost(1, j.PieceBytes)))
		}
		if j.deferred {
			continue
		}
		heap.Push(&kept, j)
		end = end.Add(q.workTime(j))
		for end.Add(call).After(j.due) && len(kept) > 0 {
			least := heap.Pop(&kept).(*job)
			least.deferred = true
			end = end.Add(-q.workTime(least))
		}
	}
	sort.SliceStable(q.jobs, func(i, k int) bool { return !q.jobs[i].deferred && q.jobs[k].deferred })
	if q.promising {
		q.prioritize(now)
	}
}

// jobHeap is a heap with the job of the least worth per piece on top.
type jobHeap []*job

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether job i has less worth per piece than job k. Jobs of requests that
// have begun come last, since what has run of them would be lost, and those of workspaces
// beyond their share come first.
func (h jobHeap) Less(i, k int) bool {
	if h[i].Begun != h[k].Begun {
		return !h[i].Begun
	}
	if h[i].over != h[k].over {
		return h[i].over
	}
	return h[i].worthPerPiece() < h[k].worthPerPiece()
}

// Swap swaps jobs i and k.
func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds a *job.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop removes and returns the last job.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// worthPerPiece returns the worth of j divided by its number of pieces, and by what a piece
// takes of the scarcer of the targets' time and memory.
func (j *job) worthPerPiece() float64 { return j.worth / float64(max(1, j.Pieces)) / j.unitCost }

// setWorth scales the worth of a new job to be comparable across ranks: the mean
// worth of a rank is no less than that of any less urgent rank.
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
