package sim

import "time"

// classLoad is the assumed load of one class over the whole deployment.
type classLoad struct {
	requestsPerSecond float64
	inputTokens       int
	outputTokens      int
	// perToken is the time to generate one token, firstToken the time to the first.
	perToken   time.Duration
	firstToken time.Duration
}

// loads holds the load of each class that versions serve. The brief gives no rates;
// these are assumed so that eighteen engines are well utilised.
var loads = map[string]classLoad{
	"draft":      {requestsPerSecond: 1, inputTokens: 6000, outputTokens: 1200, perToken: 12 * time.Millisecond, firstToken: 800 * time.Millisecond},
	"explain":    {requestsPerSecond: 3, inputTokens: 800, outputTokens: 200, perToken: 10 * time.Millisecond, firstToken: 300 * time.Millisecond},
	"tag":        {requestsPerSecond: 5, inputTokens: 300, outputTokens: 30, perToken: 10 * time.Millisecond, firstToken: 200 * time.Millisecond},
	"assessment": {requestsPerSecond: 1, inputTokens: 4000, outputTokens: 1000, perToken: 12 * time.Millisecond, firstToken: 600 * time.Millisecond},
	"summary":    {requestsPerSecond: 4, inputTokens: 2000, outputTokens: 200, perToken: 10 * time.Millisecond, firstToken: 400 * time.Millisecond},
}
