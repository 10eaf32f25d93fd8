package choice

// Plan describes how to run a request.
type Plan struct {
	// First is the version to run first; empty if Refusal is set.
	First string
	// Then are the versions to run, in order, while the rating of the previous answer is
	// below Threshold. The slice is shared and must not be modified.
	Then []string
	// Threshold is the rating from which an answer is accepted. An answer without a
	// rating is not accepted.
	Threshold float64
	// Rate requests a rating of the answer of the last version, First or the last of
	// Then, if it runs. Answers of earlier versions are rated anyway, and no answer may
	// be observed twice.
	Rate bool
	// RateAgain requests a second, independent rating of the first version's answer, if
	// that is rated; it measures the rater's noise. Both ratings must then come in one
	// observation.
	RateAgain bool
	// Exposed is set when one granted answer of a staged version was spent.
	Exposed bool
	// BelowTarget is set when no allowed plan is expected to meet the organisation's
	// target; First is then the best version available.
	BelowTarget bool
	// AllHeld is set when every version that could serve is held; First is then the one
	// with the highest expected quality.
	AllHeld bool
	// Refusal is the reason why the request may not run; empty for a plan that runs.
	Refusal Refusal
}
