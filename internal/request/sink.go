package request

// Sink writes an answer to the caller. After Begin the caller receives the output of one
// attempt only.
type Sink interface {
	// Streams reports whether chunks are sent as they arrive. Otherwise the caller receives
	// nothing before the answer is complete.
	Streams() bool
	// Begin sets the answer's head; it is called at most once, before the first Text.
	Begin(h Head)
	// Text buffers one chunk with its sequence number in the attempt. An error means that the
	// caller has disconnected.
	Text(seq int, text string) error
	// Flush sends the buffered chunks. An error means that the caller has disconnected.
	Flush() error
}

// Head is the metadata that precedes an answer.
type Head struct {
	Version string
	// Session is the session token, or empty.
	Session string
	// Stream is the token with which the caller can resume an interrupted stream through any
	// entry node, or empty.
	Stream string
}
