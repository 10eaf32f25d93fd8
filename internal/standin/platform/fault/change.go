package fault

import (
	"errors"
	"strings"
)

// Change replaces the faults of the services it names; the others stay.
type Change struct {
	Table   *Fault `json:"table,omitempty"`
	Objects *Fault `json:"objects,omitempty"`
	VMs     *Fault `json:"vms,omitempty"`
	Rating  *Fault `json:"rating,omitempty"`
	Weights *Fault `json:"weights,omitempty"`
}

// Validate names every impossible value by its field.
func (c Change) Validate() error {
	var wrong []string
	for service := range services {
		if f := c.of(service); f != nil {
			wrong = append(wrong, f.check(service)...)
		}
	}
	if len(wrong) == 0 {
		return nil
	}
	return errors.New(strings.Join(wrong, "; "))
}

func (c Change) of(service Service) *Fault {
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
