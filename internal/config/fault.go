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

func (f *Faults) add(field, reason string) {
	*f = append(*f, Fault{Field: field, Reason: reason})
}
