package gateway

// connectionBounds are the bounds on the connections that a process accepts, by who opens them. What is left
// of its descriptors is for upstreams, the table and calls to peers. 0 is no bound.
type connectionBounds struct {
	// callers bounds the connections of callers, side those to each of the directory, readiness and
	// metrics ports, peers those of other nodes.
	callers, side, peers int
}

const (
	// MinFDs is the least number of descriptors of a process.
	MinFDs = 300
	// fileFDs are the descriptors that are left for files.
	fileFDs = 200
	// The fractions of the descriptors for sockets.
	callerFDFraction = 0.4
	sideFDFraction   = 0.03
	peerFDFraction   = 0.15
	// The fractions of the process's memory for connections whose requests need no reservation.
	callerMemoryFraction = 0.15
	sideMemoryFraction   = 0.02
	peerMemoryFraction   = 0.05
	// connectionBytes is the memory of a client's connection with such a request, peerConnectionBytes that of
	// a peer's.
	connectionBytes     = 24 << 10
	peerConnectionBytes = 16 << 10
	// unreadBytes bounds what the system has received on a client's connection and the process has not read.
	unreadBytes = 16 << 10
)

// newConnectionBounds returns the bounds of a process with a memory in MiB and a number of descriptors; 0
// for no bound.
func newConnectionBounds(memoryMB, maxFDs int) connectionBounds {
	bound := func(fdFraction, memoryFraction float64, size int) int {
		bound := 0
		if maxFDs > 0 {
			bound = int(fdFraction * float64(max(maxFDs, MinFDs)-fileFDs))
		}
		if byMemory := int(memoryFraction * float64(memoryMB) * (1 << 20) / float64(size)); memoryMB > 0 && (bound == 0 || byMemory < bound) {
			bound = byMemory
		}
		return bound
	}
	return connectionBounds{
		callers: bound(callerFDFraction, callerMemoryFraction, connectionBytes),
		side:    bound(sideFDFraction, sideMemoryFraction, connectionBytes),
		peers:   bound(peerFDFraction, peerMemoryFraction, peerConnectionBytes),
	}
}
