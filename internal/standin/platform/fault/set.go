package fault

// Set holds the faults of all services.
type Set struct {
	// Table is the fault of the transactional table.
	Table Fault `json:"table"`
	// Objects is the fault of the object store.
	Objects Fault `json:"objects"`
	// VMs is the fault of the VM list.
	VMs Fault `json:"vms"`
	// Rating is the fault of the answer rating.
	Rating Fault `json:"rating"`
	// Weights is the fault of the weight store.
	Weights Fault `json:"weights"`
}

// faultOf returns the fault of one service, for reading and changing.
func (s *Set) faultOf(service Service) *Fault {
	switch service {
	case Table:
		return &s.Table
	case Objects:
		return &s.Objects
	case VMs:
		return &s.VMs
	case Rating:
		return &s.Rating
	case Weights:
		return &s.Weights
	}
	panic("no such service")
}
