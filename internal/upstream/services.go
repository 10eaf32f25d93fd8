package upstream

import (
	"context"
	"net/http"
)

// Services reaches plain services. All errors are of type *[Error].
type Services interface {
	Do(ctx context.Context, addr string, call ServiceCall) (ServiceAnswer, error)
}

// ServiceCall is one call of a plain service. Key travels as Idempotency-Key.
type ServiceCall struct {
	Method      string
	Path        string
	RawQuery    string
	ContentType string
	Key         string
	Body        []byte
}

// ServiceAnswer is the whole answer of a service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
