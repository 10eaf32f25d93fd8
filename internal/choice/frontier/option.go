package frontier

import "github.com/hickorybank/hickorybank/internal/choice/quality"

// Option is one version that may run.
type Option struct {
	Version string
	// Cost is the expected cost of an answer, in micro-units of currency.
	Cost float64
	// Estimate is the estimate of the version's quality.
	Estimate quality.Estimate
}
