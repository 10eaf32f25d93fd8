package memory

// Stats are the figures since the start.
type Stats struct {
	// Reads and Writes were admitted, by the table and the object store
	// together.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// The peaks are the most admitted in one second of the clock.
	PeakReads  uint64 `json:"peak_reads_per_second"`
	PeakWrites uint64 `json:"peak_writes_per_second"`
	// LimitedReads and LimitedWrites were refused by the rate limits.
	LimitedReads  uint64 `json:"limited_reads"`
	LimitedWrites uint64 `json:"limited_writes"`
	// Faulted calls were refused, and Dropped calls broken off, by a fault.
	Faulted uint64 `json:"faulted"`
	Dropped uint64 `json:"dropped"`
	// LostAcks counts writes whose answer was lost.
	LostAcks uint64 `json:"lost_acks"`
	// Conflicts counts commits whose conditions failed.
	Conflicts uint64 `json:"conflicts"`
	// LateWrites are admitted and have not yet taken effect.
	LateWrites int `json:"late_writes"`
	Rows       int `json:"rows"`
	Objects    int `json:"objects"`
	// VMLists, Ratings and Downloads count calls of these services.
	VMLists     uint64 `json:"vm_lists"`
	Ratings     uint64 `json:"ratings"`
	Downloads   uint64 `json:"downloads"`
	WeightBytes uint64 `json:"weight_bytes"`
}

// Stats returns the present figures.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled()
	return Stats{
		Reads:         p.reads.peak.Total(),
		Writes:        p.writes.peak.Total(),
		PeakReads:     p.reads.peak.Peak(),
		PeakWrites:    p.writes.peak.Peak(),
		LimitedReads:  p.reads.refused,
		LimitedWrites: p.writes.refused,
		Faulted:       p.faulted,
		Dropped:       p.dropped,
		LostAcks:      p.lostAcks,
		Conflicts:     p.conflicts,
		LateWrites:    len(p.late.queue),
		Rows:          p.table.Len(),
		Objects:       len(p.objects),
		VMLists:       p.lists.peak.Total(),
		Ratings:       p.ratings.peak.Total(),
		Downloads:     p.weights.peak.Total(),
		WeightBytes:   p.weightBytes,
	}
}
