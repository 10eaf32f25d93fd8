package capacity

import "github.com/rotisserie/eris"

// Slopes are the results of all probes of one run.
type Slopes []Slope

// ErrMissing is returned if a slope that the model needs was not measured.
var ErrMissing = eris.New("slope was not measured")

// Find returns the slope with the given name, or [ErrMissing].
func (s Slopes) Find(name string) (Slope, error) {
	for i := range s {
		if s[i].Name == name {
			return s[i], nil
		}
	}
	return Slope{}, eris.Wrap(ErrMissing, name)
}
