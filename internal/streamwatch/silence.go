package streamwatch

// Silence describes the silent upstreams of a service at one moment.
type Silence struct {
	// Streaming is the number of upstreams with open streams.
	Streaming int
	// Upstreams are the IDs of those that are silent.
	Upstreams []string
}

// minCommon is the number of silent upstreams from which a silence can be common.
const minCommon = 3

// IsCommon reports whether most upstreams with open streams are silent together. None of them is then
// known to be at fault, and the others could not run their streams too.
func (s Silence) IsCommon() bool {
	return len(s.Upstreams) >= minCommon && 2*len(s.Upstreams) > s.Streaming
}
