package gateway

import (
	"log/slog"
	"strings"

	"github.com/hickorybank/hickorybank/internal/event"
)

// noteUnreadable counts rows that can't be read in one response, and logs the first of them.
func (n *Node) noteUnreadable(rows []UnreadableRow) {
	n.metrics.Counter("hickorybank_unreadable_rows_total").Add(len(rows))
	for _, r := range rows[:min(len(rows), maxRecordsLogged)] {
		event.RowUnreadable.Log(n.log, slog.String("key", r.Key), slog.String("err", boundedText(r.Err)), slog.Int("rows", len(rows)))
	}
}

// maxErrorBytes is the maximum length of a decoder's error in the log.
const maxErrorBytes = 256

// boundedText returns an error's text, cut to maxErrorBytes. A decoder's error repeats the number
// that it can't read, which may be of any length.
func boundedText(err error) string {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}
