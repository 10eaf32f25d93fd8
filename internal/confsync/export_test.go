package confsync

// PackedSize is the size of a state sent whole.
func PackedSize(raw []byte) int { return len(compress(raw)) }
