package cascade

import (
	"testing"

	"github.com/matryer/is"
)

func TestChoiceOfModels(t *testing.T) {
	is := is.New(t)
	p := New(Settings{Accept: 45})
	three := []string{"small", "middle", "large"}
	is.Equal(p.First(State{Models: three, Attempts: 3}), "small")
	is.Equal(p.First(State{Models: three, Attempts: 1}), "large") // nothing could replace a small one's answer
	tests := []struct {
		model      string
		confidence int
		attempts   int
		want       string
	}{
		{"small", 45, 2, ""},
		{"small", 44, 2, "large"},
		{"small", 0, 0, ""}, // no attempt is left
		{"large", 0, 2, ""}, // there is no larger one
		{"middle", 10, 1, "large"},
	}
	for _, test := range tests {
		got := p.Next(State{Models: three, Attempts: test.attempts}, test.model, test.confidence)
		if got != test.want {
			t.Errorf("%+v: %q", test, got)
		}
	}
}
