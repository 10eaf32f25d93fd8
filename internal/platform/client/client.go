package client

import (
	"net/http"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// Refusal is the error of a call that the platform refused; it wraps
// platform.ErrRefused.
type Refusal = wire.Refusal

// Client implements platform.Platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ platform.Platform = (*Client)(nil)

// New returns a Client for the platform at a base URL such as "http://127.0.0.1:7000".
// It does not connect.
func New(baseURL string, opts ...Option) *Client {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		http:    &http.Client{Transport: newTransport(o), CheckRedirect: noRedirect},
		timeout: o.timeout,
	}
}

// noRedirect prevents net/http from following a redirect, which would send a call a
// second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects implements [platform.Platform].
func (c *Client) Objects() platform.Objects { return objects{c} }

// VMs implements [platform.Platform].
func (c *Client) VMs() platform.VMs { return vms{c} }
