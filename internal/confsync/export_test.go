package confsync

import "github.com/hickorybank/hickorybank/internal/archive"

// PackedSize is the size of a state sent whole.
func PackedSize(raw []byte) int { return len(archive.Pack(raw)) }
