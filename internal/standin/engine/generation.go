package engine

import (
	"strconv"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// genState is where a generation stands.
type genState uint8

const (
	genRunning genState = iota
	genDone
	genCancelled
	// genFailed: the version went bad in the middle of the answer.
	genFailed
	// genLost: the engine crashed.
	genLost
)

// generation is one attempt. Its pieces follow from its fields, so that it
// keeps only how many there are.
type generation struct {
	id      uint64
	attempt string
	key     string
	version string
	digest  string
	tokens  int
	input   int
	// cutShort says that the request asked for fewer tokens than the answer has.
	cutShort bool
	// crashes says that running it crashes the engine.
	crashes bool
	// failAt is the piece after which the version fails; 0 is never.
	failAt int
	ticket model.Ticket
	// run is the number of its run, or none before it has started.
	run int

	mu       sync.Mutex
	produced int
	cached   bool
	state    genState
	readers  []chan struct{}
	// idleSince is when the last reader left or the generation ended.
	idleSince time.Duration
}

// none is the run number of a generation that has not started.
const none = -1

// produce says that so many pieces exist by now.
func (g *generation) produce(count int, cached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.produced = count
	g.cached = cached
	g.wake()
}

// end ends the generation, unless it has ended before.
func (g *generation) end(now time.Duration, state genState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != genRunning {
		return false
	}
	g.state = state
	g.idleSince = now
	g.wake()
	return true
}

func (g *generation) wake() {
	for _, r := range g.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// follow returns a channel that has a token when there may be more to read.
func (g *generation) follow() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := make(chan struct{}, 1)
	g.readers = append(g.readers, r)
	return r
}

func (g *generation) unfollow(now time.Duration, r chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.readers {
		if other == r {
			g.readers = append(g.readers[:i], g.readers[i+1:]...)
			break
		}
	}
	g.idleSince = max(g.idleSince, now)
}

// view returns how many pieces there are and where the generation stands. The
// last piece counts only once the generation is done.
func (g *generation) view() (produced int, state genState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	produced = g.produced
	if g.state != genDone {
		produced = min(produced, g.tokens-1)
	}
	return produced, g.state
}

// unread reports for how long nobody has read, and whether it still runs.
func (g *generation) unread(now time.Duration) (idle time.Duration, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.readers) > 0 {
		return 0, g.state == genRunning
	}
	return now - g.idleSince, g.state == genRunning
}

// piece returns the piece with this number, counted from 1.
func (g *generation) piece(seq int) upstream.Chunk {
	c := upstream.Chunk{Attempt: g.attempt, Seq: seq}
	if seq == 1 {
		c.Text = FirstText(g.version, g.digest, g.attempt)
	} else {
		c.Text = "t" + strconv.Itoa(seq) + " "
	}
	if seq < g.tokens {
		return c
	}
	c.Done = true
	c.FinishReason = "stop"
	if g.cutShort {
		c.FinishReason = "length"
	}
	c.Usage = g.usage()
	return c
}

func (g *generation) usage() upstream.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := upstream.Usage{InputTokens: g.input, OutputTokens: g.tokens}
	if g.cached {
		u.CachedTokens = g.input - g.input/model.CachedPrefillDivisor
	}
	return u
}
