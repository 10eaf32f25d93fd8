package choice

import "time"

// Observation is one rating of one answer, or two independent ratings of it.
type Observation struct {
	Version string
	Class   string
	// Score is the rating in [0,1].
	Score float64
	// Again is a second, independent rating of the same answer. It is valid only if
	// HasAgain is set.
	Again    float64
	HasAgain bool
	// Sampled is set when the answer was sampled for rating (Plan.Rate), not rated as
	// part of a cascade.
	Sampled bool
	// IsFallback is set for a fallback answer, which ran because the rating of an earlier
	// version's answer was below the threshold. Such requests are harder than others, so
	// they are kept apart from the version's quality on all requests.
	IsFallback bool
	// RejectedVersion is the version whose answer was rejected, and RejectedScore the rating of that
	// answer, if IsFallback is set and they are known.
	RejectedVersion string
	RejectedScore   float64
	// Took is the duration of the rating; 0 if unknown.
	Took time.Duration
	Now  time.Time
}
