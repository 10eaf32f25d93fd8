package relay

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// readConn is a connection with bytes to read.
type readConn struct {
	net.Conn
	from io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.from.Read(p) }

// Fails if an answer that its peer stopped passing on looks complete, wherever the frames are cut.
func TestCutFramesNeverLookComplete(t *testing.T) {
	is := is.New(t)
	frames := []byte("\x00\x05first\x00\x06second\x00\x00")
	for cut := range len(frames) + 1 {
		body, err := io.ReadAll(&Conn{Conn: readConn{from: iotest.HalfReader(bytes.NewReader(frames[:cut]))}})
		is.Equal(err == nil, cut == len(frames))
		is.True(err != nil || string(body) == "firstsecond")
	}
}
