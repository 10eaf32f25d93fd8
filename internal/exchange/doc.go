// Package exchange is an HTTP/1.1 client that sends one request to one upstream, once,
// and reads its response.
//
// It replaces net/http's client because the router must know whether any byte of a
// request may have reached an upstream. net/http resends some requests by itself
// when a reused connection breaks, and requests compressed bodies. Here nothing is
// sent twice, and a connection whose framing is in doubt is closed. A failure
// states whether the request may have run.
package exchange
