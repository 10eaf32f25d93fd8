package config

import "strings"

// Fault is one thing wrong in a document, at a field path such as
// "models[0].versions[2].prior_quality".
type Fault struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Faults is every fault of a document. It is an error when not empty.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Field+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// add notes a fault. Beyond a bound it says only that there are more, so that
// a file of nothing but faults is not answered by one of its own size.
func (f *Faults) add(field, reason string) {
	switch {
	case len(*f) < maxFaults:
		*f = append(*f, Fault{Field: field, Reason: reason})
	case len(*f) == maxFaults:
		*f = append(*f, Fault{Field: field, Reason: "is wrong too; further faults are not listed"})
	}
}

// err is nil when there are no faults.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
