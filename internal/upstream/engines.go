package upstream

import "context"

// Engines reaches model engines. All errors are of type *[Error].
type Engines interface {
	// Start sends the attempt and returns its stream.
	Start(ctx context.Context, addr string, a Attempt) (Stream, error)
	// Resume reads the attempt's stream again from the piece after seq.
	Resume(ctx context.Context, addr, attempt string, seq int) (Stream, error)
	// Cancel stops the attempt at the engine.
	Cancel(ctx context.Context, addr, attempt string) error
	Load(ctx context.Context, addr string) (LoadReport, error)
	Order(ctx context.Context, addr string, o Order) error
	State(ctx context.Context, addr string) (EngineState, error)
}

// Stream yields the pieces of one attempt.
type Stream interface {
	// Next returns the next piece. After the piece with Done there is none.
	Next() (Chunk, error)
	// Ready says that Next will not wait. It may be false although it would
	// not.
	Ready() bool
	// Close releases the connection; it does not cancel the attempt.
	Close() error
}
