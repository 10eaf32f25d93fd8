package dev

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until every entry node is ready and has load reports of the upstreams. It returns
// the context's error if that ends first.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, n := range d.entries {
		if err := d.awaitEntry(ctx, n.AdminAddr()); err != nil {
			return eris.Wrap(err, "entry node at "+n.Addr())
		}
	}
	return nil
}

func (d *Deployment) awaitEntry(ctx context.Context, addr string) error {
	c := client.New("http://"+addr, example.OperatorKey)
	defer c.Close()
	for !(isReady(ctx, addr) && d.hasUpstreams(ctx, c)) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasUpstreams reports whether the node has discovered a service VM and an engine for each version.
func (d *Deployment) hasUpstreams(ctx context.Context, c *client.Client) bool {
	var list admin.UpstreamList
	if _, err := c.Get(ctx, "upstreams", nil, &list); err != nil {
		return false
	}
	services, versions := 0, map[string]bool{}
	for _, u := range list.Upstreams {
		if u.Kind == string(platform.RoleService) {
			services++
		}
		for _, v := range u.Versions {
			versions[v] = true
		}
	}
	return services > 0 && len(versions) == len(d.topology.Versions)
}
