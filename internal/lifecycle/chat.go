package lifecycle

import (
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const retryDelay = time.Second

type phase int

const (
	picking phase = iota
	running
	rating
	billing
	ended
)

// Chat is the state machine of one chat request.
type Chat struct {
	settings ChatSettings
	phase    phase
	stage    int // index into settings.Versions
	current  *attempt
	earlier  *attempt // the completed attempt of an earlier stage
	excluded []string
	attempts int
	// ambiguous counts abandoned attempts that may have run.
	ambiguous int
	// mayHaveRun is set as soon as an attempt is sent and cleared only when that attempt is
	// known not to have run. It selects the outcome of a failure: unknown if set, else not
	// run.
	mayHaveRun bool
	emitted    bool
	runs       []Run
}

// NewChat returns the state machine of a request; Begin or Adopt starts it.
func NewChat(s ChatSettings) *Chat { return &Chat{settings: s} }

// Begin starts a new request.
func (c *Chat) Begin() []Decision { return []Decision{Pick{Version: c.version()}} }

// Adopt starts with an attempt whose stream is already running and whose caller has received
// the chunks up to after. The stream can only be resumed, not run again.
func (c *Chat) Adopt(attemptID, vm string, after int) []Decision {
	c.attempts = c.settings.MaxAttempts
	c.current = &attempt{id: attemptID, version: c.version(), vm: vm, lastSeq: after}
	c.mayHaveRun = true
	c.emitted = true
	c.phase = running
	// Chunk after may be the last one, whose end mark the caller did not receive. It is read
	// once more: otherwise the engine would have nothing left to send and the answer would
	// never end.
	c.current.resumes++
	return []Decision{Resume{Attempt: attemptID, VM: vm, After: max(after-1, 0)}}
}

// Runs returns the runs completed so far.
func (c *Chat) Runs() []Run { return c.runs }

// Ended reports whether the final answer has been decided.
func (c *Chat) Ended() bool { return c.phase == ended }

// Running reports whether an attempt is in flight and its chunks are awaited.
func (c *Chat) Running() bool { return c.phase == running }

func (c *Chat) version() string { return c.settings.Versions[c.stage] }

func (c *Chat) lastStage() bool { return c.stage == len(c.settings.Versions)-1 }

// Picked is the event that an upstream was selected for the next attempt.
func (c *Chat) Picked(vm string) []Decision {
	if c.phase != picking {
		return nil
	}
	c.attempts++
	c.current = &attempt{id: c.settings.ID + "." + strconv.Itoa(c.attempts), version: c.version(), vm: vm}
	c.mayHaveRun = true
	c.phase = running
	return []Decision{Start{Attempt: c.current.id, Version: c.current.version, VM: vm}}
}

// Refused is the event that no attempt can be sent: there is no upstream, the retry budget is
// exhausted or the check before sending failed. No byte was sent.
func (c *Chat) Refused(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != picking {
		return nil
	}
	return c.useEarlierOrFail(code, retryAfter, message)
}

// NotSent is the event that the check before sending failed for an attempt that Picked
// started. No byte of it was sent.
func (c *Chat) NotSent(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != running || c.current.lastSeq > 0 {
		return nil
	}
	c.mayHaveRun = c.earlierMayHaveRun()
	c.current = nil
	c.phase = picking
	return c.useEarlierOrFail(code, retryAfter, message)
}

// ChunkReceived is the event that a chunk of an answer arrived. Chunks of another attempt are
// ignored.
func (c *Chat) ChunkReceived(chunk upstream.Chunk) []Decision {
	if c.phase != running || chunk.Attempt != c.current.id {
		return nil
	}
	accepted, gap := c.current.accept(chunk)
	if gap {
		return c.resume()
	}
	if !accepted && !c.current.isLast(chunk) {
		return nil
	}
	if !accepted {
		c.current.finish(chunk)
		chunk.Text = ""
	}
	if chunk.Done {
		return c.completed(chunk)
	}
	if !c.streamsChunks() || chunk.Text == "" {
		return nil
	}
	return c.emit(chunk.Text)
}

// streamsChunks reports whether chunks are sent to the caller as they arrive. They are held
// back while a later stage may still replace the answer.
func (c *Chat) streamsChunks() bool { return c.settings.Streaming && c.lastStage() }

func (c *Chat) emit(text string) []Decision {
	c.emitted = true
	return []Decision{Emit{Version: c.current.version, Seq: c.current.lastSeq, Text: text}}
}

func (c *Chat) completed(chunk upstream.Chunk) []Decision {
	c.runs = append(c.runs, Run{Version: c.current.version, Usage: chunk.Usage})
	if !c.lastStage() {
		c.phase = rating
		return []Decision{Rate{Version: c.current.version, Answer: c.current.text.String()}}
	}
	var out []Decision
	if c.streamsChunks() && chunk.Text != "" {
		out = c.emit(chunk.Text)
	}
	return append(out, c.bill())
}

func (c *Chat) bill() Decision {
	c.phase = billing
	return Bill{Version: c.current.version, Runs: c.runs}
}

// Rated is the event that the answer of [Rate] was scored; ok is false when the rating service
// returned no score.
func (c *Chat) Rated(score float64, ok bool) []Decision {
	if c.phase != rating {
		return nil
	}
	if ok && score >= c.settings.Threshold {
		return []Decision{c.bill()}
	}
	c.earlier = c.current
	c.current = nil
	c.excluded = nil
	c.stage++
	c.phase = picking
	return []Decision{Pick{Version: c.version()}}
}

// BillDurable is the event that the bill is durable.
func (c *Chat) BillDurable() []Decision {
	if c.phase != billing {
		return nil
	}
	c.phase = ended
	return []Decision{Finish{
		Version:      c.current.version,
		FinishReason: c.current.finishReason,
		Usage:        c.current.usage,
		Runs:         c.runs,
		Text:         c.unsentText(),
		Seq:          c.current.lastSeq,
	}}
}

// unsentText returns the text that has not been sent to the caller yet.
func (c *Chat) unsentText() string {
	if c.emitted {
		return ""
	}
	return c.current.text.String()
}

// BillFailed is the event that the bill could not be made durable.
func (c *Chat) BillFailed() []Decision {
	if c.phase != billing {
		return nil
	}
	return c.fail(request.CodeLedger, retryDelay, "the answer is whole but its bill could not be made safe")
}
