package setting

import (
	"fmt"
	"strings"
)

// Fault is one invalid or missing setting.
type Fault struct {
	// Flag is the name of the flag without dashes.
	Flag string
	// Variable is the name of the environment variable.
	Variable string
	// Value is the given value; empty if the setting is missing.
	Value string
	// Accepted describes the accepted values.
	Accepted string
}

// String returns the fault as one line.
func (f Fault) String() string {
	value := "is missing"
	if f.Value != "" {
		value = fmt.Sprintf("is %q", f.Value)
	}
	return fmt.Sprintf("--%s (%s) %s; accepted: %s", f.Flag, f.Variable, value, f.Accepted)
}

// Faults are all faults of a command's settings. A non-empty list serves as an error.
type Faults []Fault

// Error returns a heading and the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	head := "a setting cannot be used:"
	if len(f) != 1 {
		head = fmt.Sprintf("%d settings cannot be used:", len(f))
	}
	lines = append(lines, head)
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
