package platform

import "context"

// RateRequest asks for the rating of one answer.
type RateRequest struct {
	Version string `json:"version"`
	Class   string `json:"class"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// Rater is the platform's service that rates answers.
type Rater interface {
	// Rate returns a noisy score in [0,1].
	Rate(ctx context.Context, req RateRequest) (float64, error)
}
