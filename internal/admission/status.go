package admission

import (
	"cmp"
	"slices"
)

// PoolStatus is what the queue holds of one pool.
type PoolStatus struct {
	Pool    string
	Running int
	Queued  int
	Limit   int
}

// Status describes the pools by name, for operators and metrics.
func (q *Queue) Status() []PoolStatus {
	list := make([]PoolStatus, 0, len(q.pools))
	for _, p := range q.pools {
		list = append(list, PoolStatus{Pool: p.name, Running: p.busy(), Queued: p.queued, Limit: p.limit()})
	}
	slices.SortFunc(list, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}
