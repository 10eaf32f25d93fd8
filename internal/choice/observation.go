package choice

import "time"

// Observation is one rating of one answer.
type Observation struct {
	Version string
	Class   string
	// Score is the rating in [0,1].
	Score float64
	// Again is a second, independent rating of the same answer; it counts
	// only when HasAgain is set.
	Again    float64
	HasAgain bool
	// Sampled says that the answer was picked at random (Plan.Rate), not
	// because a cascade had to rate it.
	Sampled bool
	// AfterShort says that the answer was run because an earlier version's
	// answer to the same request fell short. Such requests are harder than
	// others, so they tell nothing of the version's quality on all requests.
	AfterShort bool
	// After is the version whose answer fell short, and AfterScore the
	// rating of that answer, when AfterShort is set and they are known.
	After      string
	AfterScore float64
	// Took is how long the rating service took; 0 is unknown.
	Took time.Duration
	Now  time.Time
}
