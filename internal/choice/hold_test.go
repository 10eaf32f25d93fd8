package choice

import (
	"testing"

	"github.com/matryer/is"
)

// Holds and lifts of a version arrive late and in any order. Only a later term, or the
// lift of the same term, may replace the known state.
func TestHoldOrder(t *testing.T) {
	none, first, lifted := Hold{}, Hold{Term: 1}, Hold{Term: 1, Lifted: true}
	second := Hold{Term: 2}
	for _, c := range []struct {
		name          string
		update, known Hold
		later         bool
	}{
		{"first hold", first, none, true},
		{"again", first, first, false},
		{"lifting", lifted, first, true},
		{"old hold after its lifting", first, lifted, false},
		{"second hold", second, lifted, true},
		{"old lifting", lifted, second, false},
		{"nothing", none, first, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.update.After(c.known), c.later)
		})
	}
}
