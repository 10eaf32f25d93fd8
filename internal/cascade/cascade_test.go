package cascade

import (
	"testing"

	"github.com/matryer/is"
)

func TestChoiceOfModels(t *testing.T) {
	is := is.New(t)
	p := New(Settings{Accept: 45})
	three := []string{"small", "middle", "large"}
	is.Equal(p.First(State{Models: three, Attempts: 3, Free: 1}), "small")
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

// Crashes elsewhere have used up the retry budget. Small models' unsure
// answers could not be replaced then, so that callers got poor ones; some are
// asked of the largest model at once, but none while its queue is long.
func TestScarceBudgetAsksTheLargestAtOnce(t *testing.T) {
	is := is.New(t)
	p := New(Settings{Accept: 45})
	ask := func(free, queue, draw float64) string {
		return p.First(State{Models: []string{"small", "large"}, Attempts: 3, Free: free, Queue: queue, Draw: draw})
	}
	is.Equal(ask(0, 0, 0.5), "large")
	is.Equal(ask(0, 5, 0.5), "small")
	is.Equal(ask(scarce/2, 0, 0.4), "small")
	is.Equal(ask(scarce/2, 0, 0.6), "large")
	is.Equal(ask(1, 0, 1), "small")
}
