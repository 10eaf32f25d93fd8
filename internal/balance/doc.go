// Package balance chooses the upstream for each attempt.
//
// A [Balancer] does no I/O and has no goroutine, clock or lock: callers pass in events
// with their time and receive decisions. Its methods are not safe for concurrent use. A
// node has one Balancer for all its upstreams, engines and plain services alike.
package balance
