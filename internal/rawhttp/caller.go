package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Caller asks for one answer after another over bare TCP.
type Caller struct {
	// Ask is the whole request as it goes over the wire.
	Ask []byte
	// Turn lets the upstream send its next piece; nil for answers in one piece.
	Turn chan<- struct{}
	// Rest is for how many pieces the upstream waits.
	Rest int

	conn net.Conn
	in   *bufio.Reader
}

// Dial connects the caller.
func (c *Caller) Dial(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "dial")
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

// SetDeadline bounds all that the caller waits for.
func (c *Caller) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Close ends the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Run asks once and reads the whole answer. Any state but 200 is an error.
func (c *Caller) Run() error {
	if _, err := c.conn.Write(c.Ask); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // for the message only
		return eris.Errorf("status %d: %s", res.StatusCode, text)
	}
	if c.Turn == nil {
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	return c.follow(bufio.NewReader(res.Body))
}

// follow reads the events and lets the upstream send the next for each.
func (c *Caller) follow(in *bufio.Reader) error {
	for events := 0; ; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF && events > c.Rest {
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) > 1 {
			continue
		}
		events++
		if events <= c.Rest {
			c.Turn <- struct{}{}
		}
	}
}
