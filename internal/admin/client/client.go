package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
)

const (
	// timeout is above what the API itself waits for the platform's store.
	timeout   = 20 * time.Second
	maxAnswer = 64 << 20
)

// Client calls one node's administration API. A refusal is found with
// errors.As as an *admin.Failure.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of the API at a base URL, with an operator's key.
func New(baseURL, key string) *Client { return NewSecure(baseURL, key, nil) }

// NewSecure returns a client that trusts the authorities of a TLS
// configuration, or the machine's when it is nil.
func NewSecure(baseURL, key string, secure *tls.Config) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		key:  key,
		http: &http.Client{Transport: &http.Transport{TLSClientConfig: secure}, Timeout: timeout},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one path below /admin/v1/ and returns the revision that the answer
// belongs to, 0 when it names none.
func (c *Client) Get(ctx context.Context, path string, query url.Values, into any) (revision uint64, err error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, message{method: http.MethodGet, path: path}, into)
}

// Change sends one change. It is made from the revision base; id is its own.
func (c *Client) Change(ctx context.Context, m Change) (admin.Acceptance, error) {
	var a admin.Acceptance
	_, err := c.do(ctx, m.message(), &a)
	return a, err
}

// Try sends a change that is only to be checked.
func (c *Client) Try(ctx context.Context, m Change) (admin.Trial, error) {
	what := m.message()
	what.path += "?dry_run=true"
	var t admin.Trial
	_, err := c.do(ctx, what, &t)
	return t, err
}

// Post sends what is no change of the configuration.
func (c *Client) Post(ctx context.Context, path string, body []byte, into any) error {
	_, err := c.do(ctx, message{method: http.MethodPost, path: path, body: body}, into)
	return err
}

// message is one request.
type message struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
}

func (c *Client) do(ctx context.Context, m message, into any) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, m.method, c.base+"/admin/v1/"+m.path, bytes.NewReader(m.body))
	if err != nil {
		return 0, eris.Wrap(err, "administration interface")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range m.headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, &NoAnswer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, &NoAnswer{Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return 0, failureOf(resp, data)
	}
	return revisionOf(resp), eris.Wrap(json.Unmarshal(data, into), "administration interface")
}

func failureOf(resp *http.Response, data []byte) error {
	var body admin.FailureBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return eris.Errorf("administration interface: %s", resp.Status)
	}
	body.Error.Status = resp.StatusCode
	return &body.Error
}

func revisionOf(resp *http.Response) uint64 {
	text := strings.Trim(resp.Header.Get("ETag"), `"`)
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return revision
}
