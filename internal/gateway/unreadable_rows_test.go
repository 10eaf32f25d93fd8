package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/event"
)

// Fails if odd rows fill the log: a decoder's error repeats a number of any length, and another
// writer may leave any number of rows.
func TestUnreadableRowsDoNotFillTheLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	n := newGroupNode(false)
	n.log = slog.New(slog.NewTextHandler(&out, nil))
	long := errors.New("slots: " + strings.Repeat("9", 1<<20))
	var rows []UnreadableRow
	for i := range 1000 {
		rows = append(rows, UnreadableRow{Key: fmt.Sprint("u", i), Err: long})
	}
	n.dropUnreadable(rows)
	is.Equal(strings.Count(out.String(), event.RowUnreadable.Name), maxRecordsLogged)
	is.True(strings.Contains(out.String(), "rows=1000"))
	n.noteRejectedConfig(fromTable, long)
	is.True(out.Len() < 32<<10)
}
