package sim

import "time"

// classLoad is the assumed work of one class over the whole deployment.
type classLoad struct {
	perSecond float64
	input     int
	output    int
	// token is the time to generate one token, first the time to the first.
	token time.Duration
	first time.Duration
}

// loads is the assumed mix of the classes that versions serve. The brief gives
// no rates; these keep eighteen runners well used.
var loads = map[string]classLoad{
	"draft":      {perSecond: 1, input: 6000, output: 1200, token: 12 * time.Millisecond, first: 800 * time.Millisecond},
	"explain":    {perSecond: 3, input: 800, output: 200, token: 10 * time.Millisecond, first: 300 * time.Millisecond},
	"tag":        {perSecond: 5, input: 300, output: 30, token: 10 * time.Millisecond, first: 200 * time.Millisecond},
	"assessment": {perSecond: 1, input: 4000, output: 1000, token: 12 * time.Millisecond, first: 600 * time.Millisecond},
	"summary":    {perSecond: 4, input: 2000, output: 200, token: 10 * time.Millisecond, first: 400 * time.Millisecond},
}
