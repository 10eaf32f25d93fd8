package engine

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// foreignPiece returns a piece that belongs to another attempt than g: of the
// generation that began last, or of one that never was.
func (s *Server) foreignPiece(g *generation) upstream.Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.streams {
		if other != g {
			return other.piece(min(crossBefore, other.tokens))
		}
	}
	return upstream.Chunk{Attempt: "not-" + g.attempt, Seq: crossBefore, Text: "crossed "}
}

func (s *Server) now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.now()
}
