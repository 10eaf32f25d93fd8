package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	reasonTooLong  = "head_too_long"
	reasonNoMemory = "memory"
)

// errRefused ends the reading of a refused head. net/http answers nothing to errors of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is refused")}

const (
	// refusalRetryAfter is when a client may come back that was refused for want of memory.
	refusalRetryAfter = 600 * time.Millisecond
	// refusalDrain and refusalDrainBytes bound the reading of what a refused client still sends. Its
	// connection would be reset otherwise, and the refusal lost.
	refusalDrain      = 250 * time.Millisecond
	refusalDrainBytes = 256 << 10
)

// refuse answers a request whose head is not complete, and ends its connection. The head keeps its memory
// until then. drain is set if the client may still be sending.
func (c *Conn) refuse(reason string, drain bool) error {
	c.refused = true
	defer c.endRequest()
	c.complete()
	c.listener.settings.Observer.HeadRefused(c.listener.settings.Name, c.RemoteAddr().String(), reason)
	status, text, more := http.StatusServiceUnavailable, "too many requests are being received", fmt.Sprintf("Retry-After: %g\r\n", refusalRetryAfter.Seconds())
	if reason == reasonTooLong {
		status, text, more = http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head is longer than %d bytes", c.listener.settings.HeadBytes()), ""
	}
	body := fmt.Sprintf(`{"error":%q,"reason":%q,"outcome":"not_run"}`, text, reason)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalDrain)) // the connection may be closed
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), more, len(body), body)
	if err == nil && drain && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalDrainBytes)) // until the client closes
	}
	return errRefused
}
