package gateway

import (
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/notice"
)

// Part is one part of a prompt, which an engine may have cached.
type Part struct {
	ID     string
	Tokens int
}

// Ask is what a caller's headers say.
type Ask struct {
	// ID names the attempt of the caller.
	ID string
	// Key is the organisation's key.
	Key string
	// Time is how long the caller waits; 0 if it does not say.
	Time time.Duration
	// LastEvent is the event after which a stream goes on; empty for the start.
	LastEvent string
	// Session joins requests that belong together; empty for none.
	Session string
	// Model is the model that the caller names.
	Model string
	// AnyModel lets the router choose the model.
	AnyModel bool
	// TokensIn and TokensOut are the prompt's size and the answer's bound.
	TokensIn, TokensOut int
	Parts               []Part
}

// Order is what the router tells an upstream of a request.
type Order struct {
	// Instance is the ID of the only upstream that may run it.
	Instance     string
	Organisation string
	// Left is the time left for the answer.
	Left time.Duration
	// Model is the model that the router chose; empty to leave the caller's.
	Model string
	// LastEvent is the event after which the stream goes on.
	LastEvent string
	// Rank is the request's place in the upstream's queue, 0 first; negative for
	// none.
	Rank int
}

// Reply is what an upstream's headers say of its answer.
type Reply struct {
	// NotRun is set when the upstream did not run the request.
	NotRun bool
	// Confidence is the model's own opinion of its answer, 0 to 100.
	Confidence    int
	HasConfidence bool
	// Running, Waiting are the upstream's load.
	Running, Waiting int
	HasLoad          bool
	// Notice is what the upstream says of itself beside its load.
	Notice notice.Answer
}

// Dialect reads and writes the headers of callers and upstreams.
type Dialect interface {
	// Read decodes a caller's headers; its error is told to the caller.
	Read(h http.Header) (Ask, error)
	// Forward returns the fields to send to an upstream: the caller's, less
	// those that only the router may set, and the router's.
	Forward(h http.Header, ask *Ask, o *Order) []exchange.Field
	// Reply decodes an upstream's headers.
	Reply(status int, h http.Header) Reply
	// IDField is the header that carries a request's ID both ways.
	IDField() string
}
