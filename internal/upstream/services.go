package upstream

import (
	"context"
	"net/http"
)

// Services is the interface of plain services. All errors are of type *[Error].
type Services interface {
	// Do makes one call of the service at addr and returns the complete response.
	Do(ctx context.Context, addr string, call ServiceCall) (ServiceAnswer, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	// Path is the decoded path.
	Path        string
	RawQuery    string
	ContentType string
	// Key is sent in the header Idempotency-Key; empty for none.
	Key  string
	Body []byte
}

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
