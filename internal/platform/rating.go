package platform

import "context"

// RateRequest is a request to rate one answer of a model.
type RateRequest struct {
	// Version is the model version that gave the answer.
	Version string `json:"version"`
	// Class is the class of the request.
	Class  string `json:"class"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// Rater is the platform's service that rates model answers.
type Rater interface {
	// Rate returns a score in [0,1]. Scores are noisy.
	Rate(ctx context.Context, req RateRequest) (float64, error)
}
