package capacity

import "github.com/rotisserie/eris"

// Slopes are all that were measured in one run.
type Slopes []Slope

// ErrMissing says that a slope that the model needs was not measured.
var ErrMissing = eris.New("slope was not measured")

// Find returns the slope of that name.
func (s Slopes) Find(name string) (Slope, error) {
	for i := range s {
		if s[i].Name == name {
			return s[i], nil
		}
	}
	return Slope{}, eris.Wrap(ErrMissing, name)
}
