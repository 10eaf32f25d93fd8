package intake

// ConnectionBounds are the bounds on the connections that a process accepts, by who opens them. What is left
// of its descriptors is for upstreams, the table and calls to peers. 0 is no bound.
type ConnectionBounds struct {
	// Callers bounds the connections of callers, Side those to each of the directory, readiness and
	// metrics ports, Peers those of other nodes.
	Callers, Side, Peers int
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
	// heldFraction is the fraction of the memory that heads, bodies, buffered answers and events in progress
	// may use, peerFraction that of unfinished messages of peers. The latter is apart, as callers could
	// otherwise keep changes from spreading.
	heldFraction = 0.25
	peerFraction = 0.05
	// UnreadBytes bounds what the system has received on a client's connection and the process has not read.
	UnreadBytes = 16 << 10
)

// NewConnectionBounds returns the bounds of a process with a memory in MiB and a number of descriptors; 0
// for no bound.
func NewConnectionBounds(memoryMB, maxFDs int) ConnectionBounds {
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
	return ConnectionBounds{
		Callers: bound(callerFDFraction, callerMemoryFraction, connectionBytes),
		Side:    bound(sideFDFraction, sideMemoryFraction, connectionBytes),
		Peers:   bound(peerFDFraction, peerMemoryFraction, peerConnectionBytes),
	}
}

// NewRequestAccount returns the account of the requests of a process with a memory in MiB; 0 for no bound.
func NewRequestAccount(memoryMB int) *Account {
	return NewAccount(int64(heldFraction * float64(memoryMB) * (1 << 20)))
}

// NewMessageAccount returns the account of the unfinished messages of peers of such a process.
func NewMessageAccount(memoryMB int) *Account {
	return NewAccount(int64(peerFraction * float64(memoryMB) * (1 << 20)))
}
