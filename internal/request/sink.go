package request

// Sink takes an answer as it comes. After Begin the caller hears only that
// one attempt.
type Sink interface {
	// Streams says that pieces go out as they come; otherwise the caller
	// sees nothing before the end.
	Streams() bool
	// Begin tells which version answers, and the session token if any.
	Begin(version, session string)
	// Text passes on one piece. An error says that the caller has gone.
	Text(text string) error
}
