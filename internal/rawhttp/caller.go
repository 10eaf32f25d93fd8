package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Caller is an HTTP client that sends one prepared request after another over a TCP
// connection.
type Caller struct {
	// Request holds the encoded request, head and body.
	Request []byte
	// Release receives a value for each event after which the upstream may send the next;
	// nil for a response without events.
	Release chan<- struct{}
	// HeldEvents is the number of events for which the upstream waits for Release.
	HeldEvents int

	conn net.Conn
	in   *bufio.Reader
}

// Dial opens the connection to a host and port.
func (c *Caller) Dial(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "dial")
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

// SetDeadline sets the deadline of all reads and writes on the connection.
func (c *Caller) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Run sends the request once and reads the whole response. Any status but 200 is an error.
func (c *Caller) Run() error {
	if _, err := c.conn.Write(c.Request); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // only the error message uses it
		return eris.Errorf("status %d: %s", res.StatusCode, text)
	}
	if c.Release == nil {
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	return c.follow(bufio.NewReader(res.Body))
}

// follow reads events to the end of the stream and releases the next after each.
func (c *Caller) follow(in *bufio.Reader) error {
	for events := 0; ; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF && events > c.HeldEvents {
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) > 1 {
			continue
		}
		events++
		if events <= c.HeldEvents {
			c.Release <- struct{}{}
		}
	}
}
