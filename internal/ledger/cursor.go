package ledger

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// cursor is a position in the result of a query.
type cursor struct {
	bucket int // index among the buckets of the query
	offset int // number of the bucket's bills that were already returned
}

// String returns the cursor in the form that callers pass back.
func (c cursor) String() string { return fmt.Sprintf("%d.%d", c.bucket, c.offset) }

// next returns the text of the cursor, or an empty string after the last bucket.
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
