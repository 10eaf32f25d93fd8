package streamwatch

import "time"

// Stream is an open stream of a [Registry].
type Stream struct {
	registry          *Registry
	source            *source
	service, upstream string
	ended             bool
}

// Note records an event of the stream.
func (s *Stream) Note(now time.Time) { s.source.note(now) }

// End removes the stream from its registry; only the first call counts.
func (s *Stream) End() {
	if s.ended {
		return
	}
	s.ended = true
	s.registry.end(s)
}
