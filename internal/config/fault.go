package config

import "strings"

// Fault is one error in a document. Field is a path such as "models[0].versions[2].prior_quality".
type Fault struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Faults are the faults found in a document, at most maxFaults and a note that there are more.
// A non-empty list serves as an error.
type Faults []Fault

// Error lists the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Field+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// add appends a fault. After maxFaults it appends one note that there are more and drops the rest,
// so that the answer to a document full of errors does not grow with the document.
func (f *Faults) add(field, reason string) {
	switch {
	case len(*f) < maxFaults:
		*f = append(*f, Fault{Field: field, Reason: reason})
	case len(*f) == maxFaults:
		*f = append(*f, Fault{Field: field, Reason: "is wrong too; further faults are not listed"})
	}
}

// err returns the faults as an error, or nil if there are none.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
