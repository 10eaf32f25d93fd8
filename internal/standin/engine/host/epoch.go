package host

import "time"

// NewEpoch returns a number for one run of a process, from its start to its end or
// crash. A later run has a higher number unless the clock is set back.
func NewEpoch() uint64 { return uint64(time.Now().UnixNano()) }
