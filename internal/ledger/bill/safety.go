package bill

// Safety is where a bill is stored, which determines the failures that it survives.
// Values go between nodes as bytes.
type Safety int

// The places where a bill can be stored, from least to most durable.
const (
	// Unsafe means that no place is known to have the bill.
	Unsafe Safety = iota
	// InPeers means that VMs in two other failure domains have copies in memory, until
	// a store of the platform takes the bill.
	InPeers
	// InObjects means that the bill is in the platform's object store.
	InObjects
	// InTable means that the bill is in the platform's table.
	InTable
)

var safetyNames = [...]string{"unsafe", "peers", "objects", "table"}

// String returns the name of the place in lower case.
func (s Safety) String() string { return safetyNames[s] }
