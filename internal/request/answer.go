package request

import "github.com/hickorybank/hickorybank/internal/upstream"

// Answer is what a completed request has to say for itself.
type Answer struct {
	Version      string
	FinishReason string
	Usage        upstream.Usage
	// Cost is in micro-units of currency.
	Cost int64
}
