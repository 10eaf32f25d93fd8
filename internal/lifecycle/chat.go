package lifecycle

import (
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const retrySoon = time.Second

type phase int

const (
	picking phase = iota
	running
	rating
	billing
	ended
)

// Chat is the life of one chat request.
type Chat struct {
	s       ChatSettings
	phase   phase
	stage   int // index into s.Versions
	current *attempt
	kept    *attempt // a completed answer of an earlier stage
	exclude []string
	sent    int
	// doubts counts given-up attempts that may have run.
	doubts int
	// mayHaveRun is set as soon as an attempt is sent and cleared only when
	// that attempt is known not to have run. It decides between the outcomes
	// not run and unknown.
	mayHaveRun bool
	emitted    bool
	runs       []Run
}

// NewChat returns the machine of a request.
func NewChat(s ChatSettings) *Chat { return &Chat{s: s} }

// Begin starts the request's life.
func (c *Chat) Begin() []Decision { return []Decision{Pick{Version: c.version()}} }

// Adopt starts the life of a request whose stream runs already and whose
// caller has heard the pieces up to after: it can only be read on.
func (c *Chat) Adopt(attemptID, vm string, after int) []Decision {
	c.sent = c.s.MaxAttempts
	c.current = &attempt{id: attemptID, version: c.version(), vm: vm, lastSeq: after}
	c.mayHaveRun = true
	c.emitted = true
	c.phase = running
	// The piece that the caller has may be the last one, whose end mark did
	// not reach it: it is read once more, or the engine would have nothing
	// left to send and the answer would never end.
	c.current.resumes++
	return []Decision{Resume{Attempt: attemptID, VM: vm, After: max(after-1, 0)}}
}

// Runs are the completed runs so far.
func (c *Chat) Runs() []Run { return c.runs }

// Ended says whether the final answer has been given.
func (c *Chat) Ended() bool { return c.phase == ended }

// Running says that an attempt is in flight and its pieces are awaited.
func (c *Chat) Running() bool { return c.phase == running }

func (c *Chat) version() string { return c.s.Versions[c.stage] }

func (c *Chat) lastStage() bool { return c.stage == len(c.s.Versions)-1 }

// Picked reports the upstream for the next attempt.
func (c *Chat) Picked(vm string) []Decision {
	if c.phase != picking {
		return nil
	}
	c.sent++
	c.current = &attempt{id: c.s.ID + "." + strconv.Itoa(c.sent), version: c.version(), vm: vm}
	c.mayHaveRun = true
	c.phase = running
	return []Decision{Start{Attempt: c.current.id, Version: c.current.version, VM: vm}}
}

// Refused reports that there is no upstream, that the retry budget is spent,
// or that the check just before sending failed. No byte has left.
func (c *Chat) Refused(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != picking {
		return nil
	}
	return c.giveUp(code, retryAfter, message)
}

// Unsent takes back an attempt that Picked had returned but of which no byte
// has left, because the check just before sending failed.
func (c *Chat) Unsent(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != running || c.current.lastSeq > 0 {
		return nil
	}
	c.mayHaveRun = c.ranBefore()
	c.current = nil
	c.phase = picking
	return c.giveUp(code, retryAfter, message)
}

// Piece reports a piece of an answer.
func (c *Chat) Piece(chunk upstream.Chunk) []Decision {
	if c.phase != running || chunk.Attempt != c.current.id {
		return nil
	}
	fresh, gap := c.current.take(chunk)
	if gap {
		return c.resume()
	}
	if !fresh && !c.current.ends(chunk) {
		return nil
	}
	if !fresh {
		c.current.finish(chunk)
		chunk.Text = ""
	}
	if chunk.Done {
		return c.done(chunk)
	}
	if !c.passOn() || chunk.Text == "" {
		return nil
	}
	return c.emit(chunk.Text)
}

// passOn says whether pieces go out as they come: not while a later stage may
// still replace the answer.
func (c *Chat) passOn() bool { return c.s.Streaming && c.lastStage() }

func (c *Chat) emit(text string) []Decision {
	c.emitted = true
	return []Decision{Emit{Version: c.current.version, Seq: c.current.lastSeq, Text: text}}
}

func (c *Chat) done(chunk upstream.Chunk) []Decision {
	c.runs = append(c.runs, Run{Version: c.current.version, Usage: chunk.Usage})
	if !c.lastStage() {
		c.phase = rating
		return []Decision{Rate{Version: c.current.version, Answer: c.current.text.String()}}
	}
	var out []Decision
	if c.passOn() && chunk.Text != "" {
		out = c.emit(chunk.Text)
	}
	return append(out, c.bill())
}

func (c *Chat) bill() Decision {
	c.phase = billing
	return Bill{Version: c.current.version, Runs: c.runs}
}

// Rated reports the score of the answer that Rate named; ok is false when the
// rating service gave none.
func (c *Chat) Rated(score float64, ok bool) []Decision {
	if c.phase != rating {
		return nil
	}
	if ok && score >= c.s.Threshold {
		return []Decision{c.bill()}
	}
	c.kept = c.current
	c.current = nil
	c.exclude = nil
	c.stage++
	c.phase = picking
	return []Decision{Pick{Version: c.version()}}
}

// BillSafe reports that the bill cannot be lost any more.
func (c *Chat) BillSafe() []Decision {
	if c.phase != billing {
		return nil
	}
	c.phase = ended
	return []Decision{Finish{
		Version:      c.current.version,
		FinishReason: c.current.reason,
		Usage:        c.current.usage,
		Runs:         c.runs,
		Text:         c.wholeText(),
		Seq:          c.current.lastSeq,
	}}
}

// wholeText is what has not been passed on yet.
func (c *Chat) wholeText() string {
	if c.emitted {
		return ""
	}
	return c.current.text.String()
}

// BillFailed reports that the bill could not be made safe.
func (c *Chat) BillFailed() []Decision {
	if c.phase != billing {
		return nil
	}
	return c.end(request.CodeLedger, retrySoon, "the answer is whole but its bill could not be made safe")
}
