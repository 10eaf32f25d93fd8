package upstream

import "context"

// Engines is the interface of model engines. addr is the address of an engine, an IP
// address and port. All errors are of type *[Error].
type Engines interface {
	// Start sends the attempt and returns its stream.
	Start(ctx context.Context, addr string, a Attempt) (Stream, error)
	// Resume opens the stream of an attempt again, starting after chunk seq.
	Resume(ctx context.Context, addr, attempt string, seq int) (Stream, error)
	// Cancel stops the attempt at the engine.
	Cancel(ctx context.Context, addr, attempt string) error
	// Load returns the load report of the engine, which may be outdated.
	Load(ctx context.Context, addr string) (LoadReport, error)
	// Order sends an order to the engine.
	Order(ctx context.Context, addr string, o Order) error
	// State returns the current state of the engine.
	State(ctx context.Context, addr string) (EngineState, error)
}

// Stream reads the chunks of one attempt.
type Stream interface {
	// Next returns the next chunk. The chunk with Done is the last one.
	Next() (Chunk, error)
	// Ready reports whether Next is known to return without blocking. It may be false
	// although Next would not block.
	Ready() bool
	// Close releases the connection; it does not cancel the attempt.
	Close() error
}
