package client

import (
	"io"
	"testing"

	"github.com/matryer/is"
)

// Fails if a chunk is delayed because the next one seems to be available although only a
// part of it has arrived.
func TestOnlyCompleteEventIsReady(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, "id: 1\ndata: {\"seq\":1}\n\nid: 2\ndata: {\"seq\":2}\n\nid: 3\ndata: {\"seq\":3}\n")
		_, _ = io.WriteString(w, "\n")
	}()
	d := newDecoder(r)
	for seq, ready := range []bool{true, false, false} {
		is.Equal(d.ready(), seq == 1) // the buffer is empty before the first read
		c, err := d.next()
		is.NoErr(err)
		is.Equal(c.Seq, seq+1)
		is.Equal(d.ready(), ready)
	}
	is.NoErr(r.Close())
}
