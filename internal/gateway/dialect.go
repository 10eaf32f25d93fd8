package gateway

import (
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/notice"
)

// PromptBlock is a block of a prompt that an engine may have cached. Tokens is its size in tokens.
type PromptBlock struct {
	ID     string
	Tokens int
}

// CallerHeaders holds the values of a caller's request headers.
type CallerHeaders struct {
	// ID identifies the caller's attempt.
	ID string
	// Key is the organisation's key.
	Key string
	// Timeout is how long the caller waits for the answer; 0 if unknown.
	Timeout time.Duration
	// LastEvent is the ID of the event after which a stream resumes; empty for its start.
	LastEvent string
	// Session is the session that the request belongs to; empty for none.
	Session string
	// Model is the model that the caller asks for.
	Model string
	// AnyModel allows the gateway to choose the model.
	AnyModel bool
	// TokensIn is the size of the prompt, TokensOut the bound on the answer, both in
	// tokens.
	TokensIn, TokensOut int
	// PromptBlocks are the parts of the prompt in order; the last one belongs to this request
	// alone.
	PromptBlocks []PromptBlock
}

// ForwardHeaders holds the values of headers that the gateway sets on upstream requests.
type ForwardHeaders struct {
	// Instance is the ID of the only upstream that may run the request.
	Instance string
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// Left is the time left until the request's deadline.
	Left time.Duration
	// Model is the model that the gateway chose; empty to keep the caller's.
	Model string
	// LastEvent is the ID of the event after which the stream resumes.
	LastEvent string
	// Rank is the request's position in the upstream's queue, starting at 0; negative for
	// none.
	Rank int
}

// Reply holds the values of an upstream's response headers.
type Reply struct {
	// NotRun is set if the upstream did not run the request.
	NotRun bool
	// Confidence is the model's own rating of its answer, 0 to 100.
	Confidence int
	// HasConfidence is set if the response carries a confidence.
	HasConfidence bool
	// Running and Waiting are the numbers of requests that the upstream runs and queues.
	Running, Waiting int
	// HasLoad is set if the response carries the upstream's load.
	HasLoad bool
	// MachineTime is how long work takes on the upstream's machine at this moment, relative
	// to the usual; 0 if the response does not tell.
	MachineTime float64
	// Notice is what the upstream announces about itself beside its load.
	Notice notice.Response
}

// Dialect reads and writes the headers of callers and upstreams.
type Dialect interface {
	// Read decodes a caller's headers. The text of its error is sent to the caller.
	Read(h http.Header) (CallerHeaders, error)
	// Forward returns the header fields to send to an upstream: the caller's, less those
	// that only the gateway may set, and the gateway's own.
	Forward(h http.Header, caller *CallerHeaders, forward *ForwardHeaders) []exchange.Field
	// Reply decodes the headers of an upstream's response.
	Reply(status int, h http.Header) Reply
	// IDField is the name of the header that carries a request's ID in both directions.
	IDField() string
}
