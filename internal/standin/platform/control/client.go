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

// Client drives one stand-in platform. A refusal is found with errors.As as a
// *wire.Refusal.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the fault port at a base URL.
func New(baseURL string) *Client {
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		http: &http.Client{Transport: new(http.Transport)},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SetFaults replaces the faults of the services that the change names, and
// returns all that are in force.
func (c *Client) SetFaults(ctx context.Context, change fault.Change) (fault.Set, error) {
	return exchange[fault.Set](ctx, c, http.MethodPost, PathFaults, change)
}

// Faults returns the faults in force.
func (c *Client) Faults(ctx context.Context) (fault.Set, error) {
	return exchange[fault.Set](ctx, c, http.MethodGet, PathFaults, nil)
}

// SetLimits sets the limits that the change names, and returns all.
func (c *Client) SetLimits(ctx context.Context, change memory.LimitsChange) (memory.Limits, error) {
	return exchange[memory.Limits](ctx, c, http.MethodPost, PathLimits, change)
}

// Limits returns the limits in force.
func (c *Client) Limits(ctx context.Context) (memory.Limits, error) {
	return exchange[memory.Limits](ctx, c, http.MethodGet, PathLimits, nil)
}

// SetQuality sets the true quality of a version.
func (c *Client) SetQuality(ctx context.Context, q rating.Quality) error {
	_, err := exchange[rating.Quality](ctx, c, http.MethodPost, PathQuality, q)
	return err
}

// Stats returns the figures since the start.
func (c *Client) Stats(ctx context.Context) (memory.Stats, error) {
	return exchange[memory.Stats](ctx, c, http.MethodGet, PathStats, nil)
}

// Dump returns what the platform holds under a prefix.
func (c *Client) Dump(ctx context.Context, prefix string) (memory.Dump, error) {
	query := url.Values{wire.QueryPrefix: {prefix}}
	return exchange[memory.Dump](ctx, c, http.MethodGet, PathDump+"?"+query.Encode(), nil)
}

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
