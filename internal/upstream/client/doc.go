// Package client implements upstream.Engines, upstream.Caches and upstream.Services over
// HTTP. The error of a failed call tells how far the request got.
package client
