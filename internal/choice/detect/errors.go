package detect

import "math"

const (
	// goodErrors is the share of attempts of a good version that may end in
	// an error of the version; a bad one's is badErrors.
	goodErrors = 0.05
	badErrors  = 0.5
)

// What an attempt says of a version, in nats.
var (
	ErrorEvidence  = math.Log(badErrors / goodErrors)
	AnswerEvidence = math.Log((1 - badErrors) / (1 - goodErrors))
)
