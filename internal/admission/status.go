package admission

import (
	"cmp"
	"slices"
)

// PoolStatus is the queue's state of one pool, in requests.
type PoolStatus struct {
	Pool    string
	Running int
	Queued  int
	Limit   int
}

// Status returns the state of the pools, sorted by name, for operators and metrics.
func (q *Queue) Status() []PoolStatus {
	list := make([]PoolStatus, 0, len(q.pools))
	for _, p := range q.pools {
		list = append(list, PoolStatus{Pool: p.name, Running: p.runningCount(), Queued: p.queued, Limit: p.limit()})
	}
	slices.SortFunc(list, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}
