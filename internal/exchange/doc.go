// Package exchange sends one request to one upstream over HTTP/1.1 and reads
// its answer.
//
// It exists beside net/http's client because the router must know, of each
// byte, whether it may have reached an upstream: net/http sends some requests
// again by itself when a kept connection breaks, and asks for compressed
// bodies. Here nothing is sent twice, a connection with any doubt about its
// framing is closed, and a failure says whether the request may have run.
package exchange
