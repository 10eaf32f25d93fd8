package request

import "github.com/hickorybank/hickorybank/internal/upstream"

// Answer describes a completed request: the version that answered, the token usage and the cost.
type Answer struct {
	Version      string
	FinishReason string
	Usage        upstream.Usage
	// Cost is in micro-units of currency.
	Cost int64
}
