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

// CacheEvents implements [upstream.Caches].
func (e *Engines) CacheEvents(ctx context.Context, addr string, seq uint64) ([]upstream.CacheEvent, error) {
	target := url.URL{Path: "/cache-events", RawQuery: "after=" + strconv.FormatUint(seq, 10)}
	body, failure := e.call(ctx, http.MethodGet, addr, target, nil, nil)
	if failure != nil {
		return nil, failure
	}
	var events []upstream.CacheEvent
	if err := json.Unmarshal(body, &events); err != nil {
		return nil, newError(addr, upstream.MaybeRun, eris.Wrap(err, "cache events"))
	}
	return events, nil
}

// ExportPrefix implements [upstream.Caches].
func (e *Engines) ExportPrefix(ctx context.Context, addr string, prefix uint64) ([]byte, error) {
	kv, failure := e.call(ctx, http.MethodGet, addr, kvTarget(prefix), nil, cacheCauses)
	return kv, asError(failure)
}

// ImportPrefix implements [upstream.Caches].
func (e *Engines) ImportPrefix(ctx context.Context, addr string, prefix uint64, kv []byte) error {
	_, failure := e.call(ctx, http.MethodPut, addr, kvTarget(prefix), kv, nil)
	return asError(failure)
}

func kvTarget(prefix uint64) url.URL {
	return url.URL{Path: "/kv/" + strconv.FormatUint(prefix, 16)}
}
