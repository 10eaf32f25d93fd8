package client

import (
	"net"
	"net/http"
)

// newTransport returns a pool of connections. Compression is off, since it
// would delay the pieces of a stream.
func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:   o.IdlePerHost,
		IdleConnTimeout:       o.IdleTimeout,
		ResponseHeaderTimeout: o.HeaderTimeout,
		DisableCompression:    true,
	}
}
