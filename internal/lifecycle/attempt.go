package lifecycle

import (
	"strings"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// attempt is one try at one upstream.
type attempt struct {
	id      string
	version string
	vm      string
	// lastSeq is the last piece that was taken.
	lastSeq int
	resumes int
	text    strings.Builder
	usage   upstream.Usage
	reason  string
}

// ends says that the piece, which the caller has already, is the answer's last.
func (a *attempt) ends(c upstream.Chunk) bool { return c.Done && c.Seq == a.lastSeq }

// finish notes what only the last piece tells.
func (a *attempt) finish(c upstream.Chunk) {
	a.usage = c.Usage
	a.reason = c.FinishReason
}

// take accepts the next piece in order. A piece that came before is ignored;
// a gap means that the stream lost something and must be read again.
func (a *attempt) take(c upstream.Chunk) (fresh, gap bool) {
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
