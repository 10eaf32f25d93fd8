package sim

import "time"

// Kind selects the distribution of the qualities of single answers.
type Kind string

// The kinds of distributions.
const (
	// Spread gives the answers of a version a logistic normal distribution.
	Spread Kind = "spread"
	// Coarse makes each answer either right or wrong.
	Coarse Kind = "coarse"
	// Flat gives all answers of a version the same quality; only ratings differ.
	Flat Kind = "flat"
)

// World holds the assumptions about answers and ratings. No real engines stand behind
// them, so results of several worlds are compared.
type World struct {
	Kind Kind // empty means Spread
	// Noise is the standard deviation of a rating around the true quality.
	Noise float64 // 0 is 0.1
	// Difficulty is the correlation of the answers of different versions to
	// the same request.
	Difficulty float64 // 0 is 0.4
	// PriorError is the standard deviation of a version's true quality around the prior
	// quality that operators configured.
	PriorError float64 // 0 is 0.02
	// Delay is the mean delay of a rating.
	Delay time.Duration // 0 is two seconds
}

const (
	// answerSpread is the standard deviation of answers before the logistic function.
	answerSpread = 1.1
	// classStdDev is the standard deviation of a class's quality around the version's.
	classStdDev = 0.015
)

func (w World) withDefaults() World {
	if w.Kind == "" {
		w.Kind = Spread
	}
	if w.Noise == 0 {
		w.Noise = 0.1
	}
	if w.Difficulty == 0 {
		w.Difficulty = 0.4
	}
	if w.PriorError == 0 {
		w.PriorError = 0.02
	}
	if w.Delay == 0 {
		w.Delay = 2 * time.Second
	}
	return w
}
