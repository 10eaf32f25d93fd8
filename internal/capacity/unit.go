package capacity

// Unit is what a slope's values are in.
type Unit string

// The units.
const (
	// Nanoseconds of processor time, user and system, garbage collection
	// included.
	Nanoseconds Unit = "ns"
	// Bytes on the wire, in a row, or of live heap.
	Bytes Unit = "B"
	// Messages between nodes.
	Messages Unit = "messages"
	// Allocations of heap memory.
	Allocations Unit = "allocs"
)
