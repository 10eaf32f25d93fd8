package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// Client calls the fault port of one stand-in platform. Its methods return errors
// that wrap a *wire.Refusal when the platform refuses the call.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the fault port at a base URL, for example
// "http://127.0.0.1:8080".
func New(baseURL string) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		http: &http.Client{Transport: new(http.Transport)},
	}
}

// Close closes the client's idle connections. Running calls continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SetFaults replaces the faults of the services that the change sets, and returns
// the resulting faults of all services.
func (c *Client) SetFaults(ctx context.Context, change fault.Change) (fault.Set, error) {
	return exchange[fault.Set](ctx, c, http.MethodPost, PathFaults, change)
}

// Faults returns the current faults of all services.
func (c *Client) Faults(ctx context.Context) (fault.Set, error) {
	return exchange[fault.Set](ctx, c, http.MethodGet, PathFaults, nil)
}

// SetLimits sets the limits that are not nil in the change, and returns all limits.
func (c *Client) SetLimits(ctx context.Context, change memory.LimitsChange) (memory.Limits, error) {
	return exchange[memory.Limits](ctx, c, http.MethodPost, PathLimits, change)
}

// Limits returns the current limits.
func (c *Client) Limits(ctx context.Context) (memory.Limits, error) {
	return exchange[memory.Limits](ctx, c, http.MethodGet, PathLimits, nil)
}

// SetQuality sets the mean score that the rating gives to a version.
func (c *Client) SetQuality(ctx context.Context, q rating.Quality) error {
	_, err := exchange[rating.Quality](ctx, c, http.MethodPost, PathQuality, q)
	return err
}

// Stats returns the platform's counters since its start.
func (c *Client) Stats(ctx context.Context) (memory.Stats, error) {
	return exchange[memory.Stats](ctx, c, http.MethodGet, PathStats, nil)
}

// Dump returns the rows and objects whose keys begin with a prefix, and all VMs.
func (c *Client) Dump(ctx context.Context, prefix string) (memory.Dump, error) {
	query := url.Values{wire.QueryPrefix: {prefix}}
	return exchange[memory.Dump](ctx, c, http.MethodGet, PathDump+"?"+query.Encode(), nil)
}

// exchange sends one request with a JSON body and decodes the answer.
func exchange[T any](ctx context.Context, c *Client, method, path string, in any) (T, error) {
	var out T
	body, err := json.Marshal(in)
	if err != nil {
		return out, eris.Wrap(err, "fault port: encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return out, eris.Wrap(err, "fault port")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, eris.Wrap(err, "fault port")
	}
	defer resp.Body.Close()
	err = decode(resp, &out)
	return out, eris.Wrap(err, "fault port: "+path)
}

// decode reads the answer's body into out, or returns the refusal that it holds.
func decode(resp *http.Response, out any) error {
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return decoder.Decode(out)
	}
	refusal := new(wire.Refusal)
	if decoder.Decode(refusal) != nil || refusal.Reason == "" {
		return eris.Errorf("status %s", resp.Status)
	}
	return refusal
}
