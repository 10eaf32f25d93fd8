package engine

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// foreignChunk returns a chunk of another attempt than g's. Without another stream, it
// returns a chunk of an attempt that does not exist.
func (s *Server) foreignChunk(g *generation) upstream.Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.streams {
		if other != g {
			return other.chunk(min(crossedSeq, other.tokens))
		}
	}
	return upstream.Chunk{Attempt: "not-" + g.attempt, Seq: crossedSeq, Text: "crossed "}
}

// now returns the time on the engine's clock.
func (s *Server) now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.now()
}
