package host

import "time"

// NewEpoch returns a number for one life of a process. A later life has a
// higher one, as long as the clock is not set back.
func NewEpoch() uint64 { return uint64(time.Now().UnixNano()) }
