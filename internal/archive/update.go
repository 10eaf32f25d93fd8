package archive

// Update brings an item up to a state: by deltas, or whole.
type Update struct {
	To     uint64
	Deltas []Delta
	// Full is the compressed state; empty when deltas suffice.
	Full []byte
}
