package ledger

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// cursor is a place in the bills of a query.
type cursor struct {
	bucket int // counted from the first of the query
	offset int // bills of the bucket that were given already
}

// String is the cursor's text, for callers.
func (c cursor) String() string { return fmt.Sprintf("%d.%d", c.bucket, c.offset) }

// next is the text of the cursor, or empty at the end.
func (c cursor) next(buckets int) string {
	if c.bucket >= buckets {
		return ""
	}
	return c.String()
}

func parseCursor(text string) (cursor, error) {
	var c cursor
	if text == "" {
		return c, nil
	}
	_, err := fmt.Sscanf(text, "%d.%d", &c.bucket, &c.offset)
	if err != nil || c.bucket < 0 || c.offset < 0 || c.String() != text {
		return c, eris.Errorf("no such cursor: %q", text)
	}
	return c, nil
}
