package memory

// Stats are the platform's counters since its start, and its current contents.
type Stats struct {
	// Reads counts admitted reads of the table and the object store.
	Reads uint64 `json:"reads"`
	// Writes counts admitted writes of the table and the object store.
	Writes uint64 `json:"writes"`
	// PeakReads is the highest number of admitted reads within one clock second.
	PeakReads uint64 `json:"peak_reads_per_second"`
	// PeakWrites is the highest number of admitted writes within one clock second.
	PeakWrites uint64 `json:"peak_writes_per_second"`
	// LimitedReads counts reads that the rate limit refused.
	LimitedReads uint64 `json:"limited_reads"`
	// LimitedWrites counts writes that the rate limit refused.
	LimitedWrites uint64 `json:"limited_writes"`
	// Faulted counts calls that a fault refused.
	Faulted uint64 `json:"faulted"`
	// Dropped counts calls whose connection a fault broke before they took effect.
	Dropped uint64 `json:"dropped"`
	// LostAcks counts writes whose answer a fault lost.
	LostAcks uint64 `json:"lost_acks"`
	// Conflicts counts commits whose conditions failed.
	Conflicts uint64 `json:"conflicts"`
	// LateWrites is the number of admitted writes that have not yet taken effect.
	LateWrites int `json:"late_writes"`
	// Rows is the current number of rows in the table.
	Rows int `json:"rows"`
	// Objects is the current number of objects.
	Objects int `json:"objects"`
	// VMLists counts admitted reads of the VM list.
	VMLists uint64 `json:"vm_lists"`
	// Ratings counts admitted ratings.
	Ratings uint64 `json:"ratings"`
	// Downloads counts admitted downloads of weights.
	Downloads uint64 `json:"downloads"`
	// WeightBytes counts the bytes that downloads have reserved.
	WeightBytes uint64 `json:"weight_bytes"`
}

// Stats returns the current counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDueWrites()
	return Stats{
		Reads:         p.reads.calls.Total(),
		Writes:        p.writes.calls.Total(),
		PeakReads:     p.reads.calls.Peak(),
		PeakWrites:    p.writes.calls.Peak(),
		LimitedReads:  p.reads.refused,
		LimitedWrites: p.writes.refused,
		Faulted:       p.faulted,
		Dropped:       p.dropped,
		LostAcks:      p.lostAcks,
		Conflicts:     p.conflicts,
		LateWrites:    len(p.late.queue),
		Rows:          p.table.Len(),
		Objects:       len(p.objects),
		VMLists:       p.vmLists.calls.Total(),
		Ratings:       p.ratings.calls.Total(),
		Downloads:     p.weights.calls.Total(),
		WeightBytes:   p.weightBytes,
	}
}
