// Package upstream defines the interfaces of the upstreams: model engines and plain
// services. Package client implements them over HTTP.
//
// Every error tells how far the request got, because a failed request may be treated as
// not run only if no byte can have reached the upstream or the upstream declined it.
package upstream
