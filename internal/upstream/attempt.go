package upstream

// Attempt is one attempt to run a request on an engine.
type Attempt struct {
	// ID is unique, so that each chunk of an answer is matched to its attempt.
	ID string
	// Version is the model version that the engine runs.
	Version string
	// Priority is passed to the engine. Lower values run first.
	Priority int
	// PrefixHash identifies the shared prefix of the prompt for the engine's cache.
	PrefixHash uint64
	// Body is the JSON body of the chat completion request, with model set to Version
	// and stream set to true.
	Body []byte
	// MaySend, if set, is called immediately before the attempt is written, in the goroutine that
	// writes it. With an error nothing is sent.
	MaySend func() error
}
