package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Do sends the request to an address once and returns the head of its answer.
// When ctx ends, the connection is closed, which tells the upstream to stop.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, *Failure) {
	c, err := p.take(ctx, addr, req.MaxIdle)
	if err != nil {
		return nil, &Failure{Reason: reasonOf(ctx, NotConnected), Err: err}
	}
	if req.Stands != nil && !req.Stands() {
		p.put(c, 0)
		return nil, &Failure{Reason: Withdrawn, Err: errWithdrawn}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	sent := send(c, req, written)
	resp, failure := readHead(c, req)
	if failure != nil {
		failure.Sent = sent
		stop()
		_ = c.Close() // the failure counts
		failure.Reason = reasonOf(ctx, failure.Reason)
		return nil, failure
	}
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, At: time.Now(), Reused: c.reused,
		body: resp.Body, conn: c, pool: p, written: written, stop: stop,
		close: resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
	return r, nil
}

var errWithdrawn = errors.New("the upstream takes no new work any more")

func reasonOf(ctx context.Context, reason Reason) Reason {
	if ctx.Err() != nil {
		return Cancelled
	}
	return reason
}

// send writes the request, a long one beside the reading of its answer. It
// returns false only when the kernel took no byte of it.
func send(c *conn, req *Request, written chan<- error) (sent bool) {
	data := encode(req)
	if len(data) <= oneWrite {
		n, err := c.Write(data)
		written <- err
		return err == nil || n > 0
	}
	go func() {
		_, err := c.Write(data)
		written <- err
	}()
	return true
}

func encode(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
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
	b.Write(req.Body)
	return b.Bytes()
}

// readHead reads the head of the answer to req. An answer with another ID is a
// late or repeated one to an earlier request: it is read over, since the
// answer to this one follows.
func readHead(c *conn, req *Request) (*http.Response, *Failure) {
	ask := &http.Request{Method: req.Method}
	for range strayAnswers {
		resp, err := http.ReadResponse(c.in, ask)
		if err != nil {
			return nil, &Failure{Sent: true, Reason: broken(err), Err: err}
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if req.IDField == "" || resp.Header.Get(req.IDField) == req.ID {
			return resp, nil
		}
		if resp.Header.Get(req.IDField) == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, &Failure{Sent: true, Reason: Garbled, Err: errors.New("answer names no request")}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes)); err != nil {
			return nil, &Failure{Sent: true, Reason: broken(err), Err: err}
		}
	}
	return nil, &Failure{Sent: true, Reason: Garbled, Err: errors.New("only answers to other requests")}
}

// broken tells bytes that are no answer from a connection that ended.
func broken(err error) Reason {
	text := err.Error()
	if strings.Contains(text, "malformed") || strings.Contains(text, "invalid") {
		return Garbled
	}
	return Broken
}

// Deadline bounds the reading of the next bytes of the body; the zero time
// lifts the bound.
func (r *Response) Deadline(t time.Time) error { return r.conn.SetReadDeadline(t) }
