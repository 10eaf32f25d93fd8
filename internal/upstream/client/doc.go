// Package client reaches upstreams over HTTP: it implements upstream.Engines
// and upstream.Services, and says of each failed call how far it got.
package client
