package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Channel is a client's connection to a front machine, which is kept for many requests.
type Channel struct {
	net.Conn
	in *bufio.Reader
}

// Open opens a channel; clients allow it one second.
func Open(addr string) (*Channel, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{c, bufio.NewReader(c)}, nil
}

// Request is one request of a client.
type Request struct {
	Method, Path, ID string
	Deadline         time.Duration
	Body             []byte
	// BytesPerSecond is the rate at which the body is sent; 0 for no limit.
	BytesPerSecond int
	Header         []string
	// Key is the API key; empty for that of the only tenant.
	Key string
}

// Answer is what a client got.
type Answer struct {
	Status    int
	Signature string
	Body      []byte
	// Keep is set if the channel may carry another request.
	Keep bool
	// Sent is set once the whole request was sent.
	Sent       bool
	RetryAfter string
}

// Do sends a request and reads its whole answer. An error means that the channel ended
// without one.
func (c *Channel) Do(r *Request) (Answer, error) {
	var a Answer
	until := time.Now().Add(r.Deadline)
	if err := c.SetDeadline(until.Add(500 * time.Millisecond)); err != nil {
		return a, err
	}
	key := r.Key
	if key == "" {
		key = Key
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), key)
	if len(r.Header) > 0 {
		head += strings.Join(r.Header, "\r\n") + "\r\n"
	}
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return a, err
	}
	writeErr := c.sendBody(r)
	a.Sent = writeErr == nil
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		return a, errors.Join(writeErr, err)
	}
	a.Status, a.Signature, a.RetryAfter = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header.Get("Retry-After")
	a.Body, err = io.ReadAll(resp.Body)
	a.Keep = err == nil && !resp.Close && writeErr == nil
	return a, err
}

// sendInterval is the pause between two parts of a body that is sent at a limited rate.
const sendInterval = 20 * time.Millisecond

func (c *Channel) sendBody(r *Request) error {
	if r.BytesPerSecond == 0 {
		_, err := c.Write(r.Body)
		return err
	}
	part := max(int(float64(r.BytesPerSecond)*sendInterval.Seconds()), 1)
	next := time.Now()
	for rest := r.Body; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		next = next.Add(sendInterval)
		time.Sleep(time.Until(next))
	}
	return nil
}
