package confsync

import "github.com/hickorybank/hickorybank/internal/archive"

// PackedSize returns the size in bytes of a state that is sent in full.
func PackedSize(raw []byte) int { return len(archive.Compress(raw)) }
