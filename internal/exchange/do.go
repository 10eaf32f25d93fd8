package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/httphead"
)

// Do sends the request to a host and port once and returns once the head of the
// response is read. When ctx ends, the connection is closed, so that the upstream
// can stop its work. The failure is nil exactly when the response is not.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, *Failure) {
	c, err := p.acquire(ctx, addr, req.MaxIdle)
	if err != nil {
		reason := NotConnected
		var link linkError
		if errors.As(err, &link) && link.LinkLost() {
			reason = LinkLost
		}
		return nil, &Failure{Reason: reasonUnlessCancelled(ctx, reason), Err: err}
	}
	if req.ShouldSend != nil && !req.ShouldSend() {
		p.release(c, 0)
		return nil, &Failure{Reason: Withdrawn, Err: errWithdrawn}
	}
	p.start(c, req.LinkLost)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	writeResult := make(chan error, 1)
	sent := send(c, req, writeResult)
	resp, failure := readHead(c, req)
	if failure != nil {
		failure.Sent = sent
		stop()
		p.end(c)
		_ = c.Close() // the exchange's failure is returned
		if c.aborted.Load() {
			failure.Reason = LinkLost
		}
		failure.Reason = reasonUnlessCancelled(ctx, failure.Reason)
		return nil, failure
	}
	unframed := isUnframed(resp)
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: unframed, HeadReadAt: time.Now(), Reused: c.reused,
		body: resp.Body, conn: c, pool: p, writeResult: writeResult, stop: stop, closeAfter: resp.Close || unframed,
	}
	return r, nil
}

var errWithdrawn = errors.New("the upstream takes no new work any more")

// isUnframed reports whether a response has neither a length nor chunks.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// reasonUnlessCancelled returns Cancelled if ctx has ended, else the given reason.
func reasonUnlessCancelled(ctx context.Context, reason Reason) Reason {
	if ctx.Err() != nil {
		return Cancelled
	}
	return reason
}

// send writes the request; a large one is written concurrently with the reading of the
// response. It returns false only when the kernel accepted no byte of the request.
func send(c *conn, req *Request, writeResult chan<- error) (sent bool) {
	if len(req.Body) <= maxSyncWriteBytes {
		n, err := c.Write(append(encodeHead(req, len(req.Body)), req.Body...))
		writeResult <- err
		return err == nil || n > 0
	}
	go func() {
		_, err := c.Write(encodeHead(req, 0))
		if err == nil {
			_, err = c.Write(req.Body) // not copied behind the head: bodies may be large
		}
		writeResult <- err
	}()
	return true
}

// encodeHead returns the head of the request in its HTTP/1.1 wire format, with room for further
// bytes.
func encodeHead(req *Request, room int) []byte {
	var b bytes.Buffer
	b.Grow(512 + room)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	for _, f := range req.Fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if req.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the response to req. A response with another ID is a late or
// repeated one to an earlier request. It is skipped, since the response to req follows.
func readHead(c *conn, req *Request) (*http.Response, *Failure) {
	httpRequest := &http.Request{Method: req.Method}
	c.checkResponse(req.Method == http.MethodHead)
	for range maxStrayResponses {
		c.boundHead()
		resp, err := c.readResponse(httpRequest)
		tooLong := c.headLeft == 0
		c.unboundHead()
		if err != nil && tooLong {
			err = errHeadTooLong // net/http may call the part that was read malformed
		}
		if err != nil {
			return nil, &Failure{Sent: true, Reason: readFailureReason(err), Err: err}
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		ids := slices.Compact(slices.Clone(resp.Header.Values(req.IDField)))
		if req.IDField != "" && len(ids) > 1 {
			return nil, &Failure{Sent: true, Reason: InvalidResponse, Err: errNoID}
		}
		id := strings.Join(ids, "")
		if req.IDField == "" || id == req.ID {
			return resp, nil
		}
		if id == "" || isUnframed(resp) {
			return nil, &Failure{Sent: true, Reason: InvalidResponse, Err: errNoID}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBodyBytes+1))
		if err != nil {
			return nil, &Failure{Sent: true, Reason: readFailureReason(err), Err: err}
		}
		c.checkResponse(req.Method == http.MethodHead)
		if n > maxStrayBodyBytes {
			// What follows belongs to that answer, not to the next one.
			return nil, &Failure{Sent: true, Reason: TooLong, Err: errStrayTooLong}
		}
	}
	return nil, &Failure{Sent: true, Reason: InvalidResponse, Err: errors.New("only answers to other requests")}
}

var errNoID = errors.New("response does not name one request")

// readResponse reads the head of a response, if it keeps the grammar.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	if c.malformed != nil {
		return nil, c.malformed
	}
	resp, err := http.ReadResponse(c.in, req)
	if c.malformed != nil {
		err = c.malformed // net/http may have read enough before it
	}
	return resp, err
}

var errStrayTooLong = errors.New("answer to another request is longer than " + strconv.Itoa(maxStrayBodyBytes) + " bytes")

// readFailureReason distinguishes malformed bytes from a connection that ended. net/http
// gives no error types for the former, so the text decides.
func readFailureReason(err error) Reason {
	if errors.Is(err, errHeadTooLong) {
		return TooLong
	}
	var malformed *httphead.Error
	if errors.As(err, &malformed) {
		return InvalidResponse
	}
	text := err.Error()
	if strings.Contains(text, "too long") || strings.Contains(text, "suspiciously long") {
		return TooLong // a chunk's length or the trailer, bounded by net/http
	}
	if strings.Contains(text, "malformed") || strings.Contains(text, "invalid") {
		return InvalidResponse
	}
	return Broken
}

// Deadline sets the deadline for reads of the body; the zero time removes it. It
// returns the error of the connection.
func (r *Response) Deadline(t time.Time) error { return r.conn.SetReadDeadline(t) }
