package upstream

// Attempt is one try of a request at one engine. Its ID is unique, so that an
// answer is matched to its attempt and to nothing else.
type Attempt struct {
	ID      string
	Version string
	// Priority is passed to the engine; a lower one runs first.
	Priority int
	// PrefixHash identifies the prompt's shared prefix for the engine's cache.
	PrefixHash uint64
	// Body is the request in the chat completion form, with model = Version
	// and stream = true.
	Body []byte
}
