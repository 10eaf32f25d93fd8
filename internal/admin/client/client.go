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
	// timeout is above the API's own time limit for the platform's store (15 s).
	timeout        = 20 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls the administration API of one node. Its errors are an [*admin.Failure] if the API
// refused the request and a [*NoAnswer] if no complete answer arrived.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of the API at a base URL that authenticates with an operator's key.
func New(baseURL, key string) *Client { return NewWithTLS(baseURL, key, nil) }

// NewWithTLS returns a client with a TLS configuration. If that is nil, the client trusts the
// system's certificate authorities.
func NewWithTLS(baseURL, key string, secure *tls.Config) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		key:  key,
		http: &http.Client{Transport: &http.Transport{TLSClientConfig: secure}, Timeout: timeout},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a path relative to /admin/v1/ into result. It returns the revision in the answer's ETag,
// or 0 if there is none.
func (c *Client) Get(ctx context.Context, path string, query url.Values, result any) (revision uint64, err error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, request{method: http.MethodGet, path: path}, result)
}

// Change sends a change.
func (c *Client) Change(ctx context.Context, m Change) (admin.Acceptance, error) {
	var a admin.Acceptance
	_, err := c.do(ctx, m.request(), &a)
	return a, err
}

// DryRun sends a change as a dry run: the API checks it and does not make it.
func (c *Client) DryRun(ctx context.Context, m Change) (admin.DryRunResult, error) {
	req := m.request()
	req.path += "?dry_run=true"
	var t admin.DryRunResult
	_, err := c.do(ctx, req, &t)
	return t, err
}

// Post sends a request that does not change the configuration, such as lifting a hold.
func (c *Client) Post(ctx context.Context, path string, body []byte, result any) error {
	_, err := c.do(ctx, request{method: http.MethodPost, path: path, body: body}, result)
	return err
}

// request is one HTTP request to the API.
type request struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
}

func (c *Client) do(ctx context.Context, m request, result any) (uint64, error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, &NoAnswer{Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return 0, responseError(resp, data)
	}
	return revisionOf(resp), eris.Wrap(json.Unmarshal(data, result), "administration interface")
}

func responseError(resp *http.Response, data []byte) error {
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
