package choice

// Plan says how a request is to be run.
type Plan struct {
	// First is the version to run first; empty when Refusal is set.
	First string
	// Then are the versions to run, in order, while the answer before falls
	// short of Threshold. It is shared and must not be changed.
	Then []string
	// Threshold accepts an answer whose rating is at least this much. An
	// answer whose rating did not come counts as short.
	Threshold float64
	// Rate asks for a rating of the answer of the last version, First or the
	// last of Then, if it comes to that. All versions before it are rated
	// anyway, and an answer must not be counted twice.
	Rate bool
	// RateAgain asks for a second, independent rating of the first version's
	// answer, if that is rated; it tells what a rating is worth. Both ratings
	// are then to come in one observation.
	RateAgain bool
	// Exposed says that one granted answer of a staged version was spent.
	Exposed bool
	// BelowTarget says that no allowed plan is expected to meet the
	// organisation's target; First is then the best there is.
	BelowTarget bool
	// AllHeld says that every version that could serve is held, and that
	// First is the least bad of them.
	AllHeld bool
	// Refusal says why nothing may run; it is empty for a plan that runs.
	Refusal Refusal
}
