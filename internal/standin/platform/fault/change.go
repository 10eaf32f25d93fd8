package fault

import (
	"errors"
	"strings"
)

// Change replaces the faults of some services. A service whose field is nil keeps
// its faults.
type Change struct {
	// Table is the new fault of the transactional table.
	Table *Fault `json:"table,omitempty"`
	// Objects is the new fault of the object store.
	Objects *Fault `json:"objects,omitempty"`
	// VMs is the new fault of the VM list.
	VMs *Fault `json:"vms,omitempty"`
	// Rating is the new fault of the answer rating.
	Rating *Fault `json:"rating,omitempty"`
	// Weights is the new fault of the weight store.
	Weights *Fault `json:"weights,omitempty"`
}

// Validate returns an error that lists every invalid value with its field and the
// accepted range.
func (c Change) Validate() error {
	var problems []string
	for service := range numServices {
		if f := c.faultOf(service); f != nil {
			problems = append(problems, f.check(service)...)
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

// faultOf returns the new fault of one service, or nil if it stays unchanged.
func (c Change) faultOf(service Service) *Fault {
	switch service {
	case Table:
		return c.Table
	case Objects:
		return c.Objects
	case VMs:
		return c.VMs
	case Rating:
		return c.Rating
	case Weights:
		return c.Weights
	}
	panic("no such service")
}
