package bill

// Safety says where a bill is kept, and so what it survives.
type Safety int

// The places, from none to the best.
const (
	// Unsafe means that the bill is kept nowhere for certain.
	Unsafe Safety = iota
	// InPeers means copies in the memory of VMs in two other failure domains,
	// until the platform takes the bill.
	InPeers
	// InObjects means the platform's object store.
	InObjects
	// InTable means the platform's table.
	InTable
)

var safetyNames = [...]string{"unsafe", "peers", "objects", "table"}

// String returns the place's name.
func (s Safety) String() string { return safetyNames[s] }
