// Package suspect keeps a request that crashes its upstream from being run
// again and again: at most two upstreams are lost to one request, also when it
// is sent again with a new key through another node.
//
// A crash of an upstream makes every request in flight there a suspect. All
// nodes are told before the callers hear of the failure. A suspect runs alone
// and only with the permission of one holder; a request that was in flight at
// two crashes is convicted and refused.
//
// A [Tracker] is a core without I/O: events and messages with their time go in
// by its methods, messages and decisions come out of Ready. It has no
// goroutine, clock or lock; one goroutine owns it, or its caller locks.
package suspect
