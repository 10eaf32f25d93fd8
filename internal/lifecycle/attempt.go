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
		a.usage = c.Usage
		a.reason = c.FinishReason
	}
	return true, false
}
