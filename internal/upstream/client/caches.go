package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

var _ upstream.Caches = (*Engines)(nil)

// CacheEvents returns the published cache events that follow seq.
func (e *Engines) CacheEvents(ctx context.Context, addr string, seq uint64) ([]upstream.CacheEvent, error) {
	target := url.URL{Path: "/cache-events", RawQuery: "after=" + strconv.FormatUint(seq, 10)}
	body, fault := e.call(ctx, http.MethodGet, addr, target, nil, nil)
	if fault != nil {
		return nil, fault
	}
	var events []upstream.CacheEvent
	if err := json.Unmarshal(body, &events); err != nil {
		return nil, fail(addr, upstream.MaybeRun, eris.Wrap(err, "cache events"))
	}
	return events, nil
}

// ExportPrefix returns a prefix's KV cache.
func (e *Engines) ExportPrefix(ctx context.Context, addr string, prefix uint64) ([]byte, error) {
	kv, fault := e.call(ctx, http.MethodGet, addr, kvTarget(prefix), nil, cacheCauses)
	return kv, plain(fault)
}

// ImportPrefix gives an engine a prefix's KV cache.
func (e *Engines) ImportPrefix(ctx context.Context, addr string, prefix uint64, kv []byte) error {
	_, fault := e.call(ctx, http.MethodPut, addr, kvTarget(prefix), kv, nil)
	return plain(fault)
}

func kvTarget(prefix uint64) url.URL {
	return url.URL{Path: "/kv/" + strconv.FormatUint(prefix, 16)}
}
