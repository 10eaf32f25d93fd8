package confsync

// Delta turns the encoded document of one revision into that of a later one.
type Delta struct {
	// From and To are the revisions.
	From uint64
	To   uint64
	// Edits is the encoded edit script.
	Edits []byte
}
