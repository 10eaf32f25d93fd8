package request

// Sink takes an answer as it comes. After Begin the caller hears only that
// one attempt.
type Sink interface {
	// Streams says that pieces go out as they come; otherwise the caller
	// sees nothing before the end.
	Streams() bool
	// Begin tells which version answers and the caller's tokens.
	Begin(h Head)
	// Text takes one piece with its number in the attempt. An error says that
	// the caller has gone.
	Text(seq int, text string) error
	// Flush sends the pieces that were taken.
	Flush() error
}

// Head is what goes before an answer.
type Head struct {
	Version string
	// Session is the session's token, or empty.
	Session string
	// Stream is the token with which a broken stream is read on through any
	// entry node, or empty.
	Stream string
}
