// Package balance chooses the upstream for each attempt.
//
// A [Balancer] is a core without I/O: it takes events with their time and
// returns decisions. It has no goroutine, clock or lock; one goroutine owns it,
// or its caller locks around each method. A node holds one Balancer for all
// its upstreams, engines and plain services alike.
package balance
