package detect

import "math"

const (
	// goodErrorRate is the highest share of a good version's attempts that end in an
	// error of the version; badErrorRate is the share for a degraded one.
	goodErrorRate = 0.05
	badErrorRate  = 0.5
)

// ErrorEvidence and AnswerEvidence are the evidence, in nats, of a failed and of an
// answered attempt.
var (
	ErrorEvidence  = math.Log(badErrorRate / goodErrorRate)
	AnswerEvidence = math.Log((1 - badErrorRate) / (1 - goodErrorRate))
)
