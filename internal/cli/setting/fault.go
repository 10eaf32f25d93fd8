package setting

import (
	"fmt"
	"strings"
)

// Fault is one setting that cannot be used.
type Fault struct {
	// Flag is without its dashes.
	Flag     string
	Variable string
	// Value is what was given; empty when nothing was.
	Value    string
	Accepted string
}

// String is one line for people.
func (f Fault) String() string {
	value := "is missing"
	if f.Value != "" {
		value = fmt.Sprintf("is %q", f.Value)
	}
	return fmt.Sprintf("--%s (%s) %s; accepted: %s", f.Flag, f.Variable, value, f.Accepted)
}

// Faults is every fault of a command's settings; an error when not empty.
type Faults []Fault

// Error lists all faults, one a line.
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
