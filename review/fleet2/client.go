package fleet2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a client got.
type Answer struct {
	ID, Gate  string
	Path      string
	Sent, End time.Time
	// Head is when the head of the answer came; zero for none.
	Head   time.Time
	Status int
	Body   string
	Err    error
	Header http.Header
}

// Clients send requests to gateways.
type Clients struct {
	Record *Record
	client *http.Client
	next   atomic.Int64
	mu     sync.Mutex
	all    []Answer
	gates  map[string]string
	group  sync.WaitGroup
}

// NewClients returns clients that keep their channels open.
func NewClients(r *Record) *Clients {
	return &Clients{Record: r, gates: map[string]string{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}}
}

// Do sends one request and waits for its answer, for limit at most.
func (c *Clients) Do(g *Gate, path string, limit time.Duration, header map[string]string) Answer {
	a := Answer{ID: fmt.Sprintf("req-%06d", c.next.Add(1)), Gate: g.Name, Path: path}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body := "body of " + a.ID
	if text, set := header[Body]; set {
		body = text
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(err) // addresses are sound
	}
	req.ContentLength = int64(len(body))
	req.Host = "app.example"
	req.Header.Set("Request-Id", a.ID)
	req.Header.Set("Key", "key-1")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for name, value := range header {
		if name != Body {
			req.Header.Set(name, value)
		}
	}
	a.Sent = time.Now()
	c.mu.Lock()
	c.gates[a.ID] = g.Name
	c.mu.Unlock()
	c.Record.Note("client sends %s to %s", a.ID, g.Name)
	resp, err := c.client.Do(req)
	if err == nil {
		a.Status, a.Header, a.Head = resp.StatusCode, resp.Header, time.Now()
		body, e := io.ReadAll(resp.Body)
		a.Body, err = string(body), e
		_ = resp.Body.Close() // it has been read
	}
	a.Err, a.End = err, time.Now()
	c.Record.Note("client gets %d for %s from %s (%d bytes, error %v)", a.Status, a.ID, g.Name, len(a.Body), err)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// Body is the key of a request's body among its headers.
const Body = "Body"

// Go sends one request without waiting for its answer.
func (c *Clients) Go(g *Gate, path string, limit time.Duration, header map[string]string) {
	c.group.Go(func() { c.Do(g, path, limit, header) })
}

// Load sends requests at a rate until ctx ends; pick selects the gateway of each, nil for none.
func (c *Clients) Load(ctx context.Context, perSecond float64, pick func(i int) *Gate, path string, limit time.Duration, header map[string]string) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if g := pick(i); g != nil {
				c.Go(g, path, limit, header)
			}
		}
	}
}

// Wait waits for all answers.
func (c *Clients) Wait() { c.group.Wait() }

// GateOf returns the name of the gateway to which a request was sent.
func (c *Clients) GateOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gates[id]
}

// Answers returns the answers so far.
func (c *Clients) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.all...)
}
