package explain

import "fmt"

// Fault is a field of a request that can't be used.
type Fault struct {
	Field, Value, Accepted string
}

func fault(field, value, accepted string) error { return &Fault{field, value, accepted} }

func (f *Fault) Error() string {
	return fmt.Sprintf("%s is %q; accepted: %s", f.Field, f.Value, f.Accepted)
}
