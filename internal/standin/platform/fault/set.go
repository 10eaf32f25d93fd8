package fault

// Set is how all services fail.
type Set struct {
	Table   Fault `json:"table"`
	Objects Fault `json:"objects"`
	VMs     Fault `json:"vms"`
	Rating  Fault `json:"rating"`
	Weights Fault `json:"weights"`
}

// of returns the fault of one service.
func (s *Set) of(service Service) *Fault {
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
