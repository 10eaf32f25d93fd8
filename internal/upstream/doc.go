// Package upstream reaches the upstreams: model engines and plain services.
//
// Every failure says how far the request got, because only a request of which
// no byte can have reached an upstream may be called "not run".
package upstream
