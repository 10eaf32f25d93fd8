package lifecycle

import (
	"strings"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// attempt is one execution of a request at one upstream.
type attempt struct {
	id      string
	version string
	vm      string
	// lastSeq is the sequence number of the last accepted chunk.
	lastSeq      int
	resumes      int
	text         strings.Builder
	usage        upstream.Usage
	finishReason string
}

// isLast reports whether c, which was accepted before, is the answer's last chunk.
func (a *attempt) isLast(c upstream.Chunk) bool { return c.Done && c.Seq == a.lastSeq }

// finish records the usage and the finish reason, which only the last chunk has.
func (a *attempt) finish(c upstream.Chunk) {
	a.usage = c.Usage
	a.finishReason = c.FinishReason
}

// accept takes the next chunk in order. It ignores a duplicate; a gap means that a chunk was
// lost and the stream must be resumed.
func (a *attempt) accept(c upstream.Chunk) (accepted, gap bool) {
	if c.Seq <= a.lastSeq {
		return false, false
	}
	if c.Seq != a.lastSeq+1 {
		return false, true
	}
	a.lastSeq = c.Seq
	a.text.WriteString(c.Text)
	if c.Done {
		a.finish(c)
	}
	return true, false
}
