package client

import (
	"net/http"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// Refusal is the platform's own refusal of a call; it wraps
// platform.ErrRefused.
type Refusal = wire.Refusal

// Client implements platform.Platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ platform.Platform = (*Client)(nil)

// New returns a client of the platform at a base URL such as
// "http://127.0.0.1:7000".
func New(baseURL string, opts ...Option) *Client {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		http:    &http.Client{Transport: transport(o), CheckRedirect: noRedirect},
		timeout: o.timeout,
	}
}

// noRedirect keeps net/http from sending a call a second time elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects implements [platform.Platform].
func (c *Client) Objects() platform.Objects { return objects{c} }

// VMs implements [platform.Platform].
func (c *Client) VMs() platform.VMs { return vms{c} }
