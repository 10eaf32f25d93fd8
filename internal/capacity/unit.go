package capacity

// Unit is the unit of the values of a slope.
type Unit string

// The units.
const (
	// Nanoseconds of processor time: user and system time, including garbage collection.
	Nanoseconds Unit = "ns"
	// Bytes on the network, in a table row, or of live heap.
	Bytes Unit = "B"
	// Messages between nodes.
	Messages Unit = "messages"
	// Allocations of heap memory.
	Allocations Unit = "allocs"
)
