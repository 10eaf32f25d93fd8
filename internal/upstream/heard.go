package upstream

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// Heard takes what an upstream says of itself in the headers of an answer, read at a time.
type Heard func(a notice.Response, at time.Time)

type heardKey struct{}

// WithHeard returns a context whose calls tell of each answer's headers, whatever its status.
func WithHeard(ctx context.Context, heard Heard) context.Context {
	return context.WithValue(ctx, heardKey{}, heard)
}

// HeardFrom returns who hears of the answers to a context's calls; nil for nobody.
func HeardFrom(ctx context.Context) Heard {
	heard, _ := ctx.Value(heardKey{}).(Heard)
	return heard
}
