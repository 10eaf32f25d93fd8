package fault

// Service is a part of the platform whose faults are independent of the others'.
type Service int

const (
	// Table is the transactional table.
	Table Service = iota
	// Objects is the object store.
	Objects
	// VMs is the VM list.
	VMs
	// Rating is the answer rating.
	Rating
	// Weights is the weight store.
	Weights
	numServices
)

var serviceNames = [numServices]string{"table", "objects", "vms", "rating", "weights"}

// String returns the key of the service in the fault settings.
func (s Service) String() string { return serviceNames[s] }

// hasWrites reports whether the service has calls that change its state.
func (s Service) hasWrites() bool { return s == Table || s == Objects }
