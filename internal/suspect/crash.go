package suspect

// CrashID identifies one crash of one upstream, whoever saw it: the upstream
// and the epoch (its start) that ended.
type CrashID struct {
	Upstream string
	Epoch    uint64
}
