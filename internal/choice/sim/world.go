package sim

import "time"

// Kind is how the qualities of single answers are distributed.
type Kind string

// The kinds of worlds.
const (
	// Spread: answers of a version differ, along a logistic normal curve.
	Spread Kind = "spread"
	// Coarse: an answer is right or wrong.
	Coarse Kind = "coarse"
	// Flat: all answers of a version are alike; only ratings differ.
	Flat Kind = "flat"
)

// World is how answers and ratings behave. All of it is assumed, not measured
// at real engines; the figures of several worlds stand side by side.
type World struct {
	Kind Kind // empty is Spread
	// Noise is the standard deviation of a rating about the true quality.
	Noise float64 // 0 is 0.1
	// Difficulty is the correlation of the answers of different versions to
	// the same request.
	Difficulty float64 // 0 is 0.4
	// Wrong is the standard deviation of a version's true quality about the
	// operators' belief.
	Wrong float64 // 0 is 0.02
	// Delay is the mean time until a rating comes.
	Delay time.Duration // 0 is two seconds
}

const (
	// width is the spread of answers along the logistic curve.
	width = 1.1
	// classWrong is how far qualities for classes differ from the version's.
	classWrong = 0.015
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
	if w.Wrong == 0 {
		w.Wrong = 0.02
	}
	if w.Delay == 0 {
		w.Delay = 2 * time.Second
	}
	return w
}
