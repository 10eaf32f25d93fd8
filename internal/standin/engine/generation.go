package engine

import (
	"sync"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// generation keeps the pieces of one attempt, so that any number of readers
// can follow it from any piece on.
type generation struct {
	attempt string
	version string
	digest  string

	mu     sync.Mutex
	pieces []upstream.Chunk
	ended  bool
	failed bool
	// more is closed and replaced when pieces or ended change.
	more chan struct{}
}

func newGeneration(attempt, version, digest string) *generation {
	return &generation{attempt: attempt, version: version, digest: digest, more: make(chan struct{})}
}

// add appends the next piece.
func (g *generation) add(c upstream.Chunk) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	c.Attempt = g.attempt
	c.Seq = len(g.pieces) + 1
	g.pieces = append(g.pieces, c)
	g.ended = c.Done
	g.wake()
}

// fail ends the generation without a last piece.
func (g *generation) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.failed = true
	g.wake()
}

func (g *generation) wake() {
	close(g.more)
	g.more = make(chan struct{})
}

// after returns the pieces that follow seq, whether the generation has ended,
// and a channel that closes when there is more to see.
func (g *generation) after(seq int) (pieces []upstream.Chunk, ended bool, more <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if seq < len(g.pieces) {
		pieces = g.pieces[seq:len(g.pieces):len(g.pieces)]
	}
	return pieces, g.ended, g.more
}
