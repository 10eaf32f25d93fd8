package admission

// PoolStatus is what the queue holds of one pool.
type PoolStatus struct {
	Pool    string
	Running int
	Queued  int
	Limit   int
}
