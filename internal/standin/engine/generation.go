package engine

import (
	"strconv"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// genState is the state of a generation.
type genState uint8

const (
	genRunning genState = iota
	genDone
	genCancelled
	// genFailed means that the version failed in the middle of the answer.
	genFailed
	// genLost means that the engine crashed.
	genLost
)

// generation is the execution of one attempt. Its chunks are computed from its fields,
// so it stores only their number.
type generation struct {
	id      uint64
	attempt string
	key     string
	version string
	digest  string
	tokens  int
	input   int
	// cutShort is true if the request limits the answer to fewer tokens than it has.
	cutShort bool
	// crashes is true if the engine crashes when it starts the generation.
	crashes bool
	// failAfter is the number of the chunk after which the version fails; 0 means never.
	failAfter int
	ticket    model.Ticket
	// run is the index of its run, or noRun before the start.
	run int

	mu       sync.Mutex
	produced int
	cached   bool
	state    genState
	readers  []chan struct{}
	// idleSince is when the last reader left or the generation ended.
	idleSince time.Duration
}

// noRun is the run index of a generation that has not started.
const noRun = -1

// setProduced sets the number of chunks that exist.
func (g *generation) setProduced(count int, cached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.produced = count
	g.cached = cached
	g.wakeReaders()
}

// end ends the generation. It reports false if the generation has already ended.
func (g *generation) end(now time.Duration, state genState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != genRunning {
		return false
	}
	g.state = state
	g.idleSince = now
	g.wakeReaders()
	return true
}

func (g *generation) wakeReaders() {
	for _, r := range g.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// subscribe adds a reader. The returned channel receives a value when chunks or the
// state may have changed.
func (g *generation) subscribe() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := make(chan struct{}, 1)
	g.readers = append(g.readers, r)
	return r
}

func (g *generation) unsubscribe(now time.Duration, r chan struct{}) {
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

// progress returns the number of chunks and the state of the generation. The last chunk
// counts only once the generation is done.
func (g *generation) progress() (produced int, state genState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	produced = g.produced
	if g.state != genDone {
		produced = min(produced, g.tokens-1)
	}
	return produced, g.state
}

// idleTime returns how long the generation has had no reader, and whether it is running.
func (g *generation) idleTime(now time.Duration) (idle time.Duration, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.readers) > 0 {
		return 0, g.state == genRunning
	}
	return now - g.idleSince, g.state == genRunning
}

// chunk returns the chunk with a sequence number, counted from 1.
func (g *generation) chunk(seq int) upstream.Chunk {
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
