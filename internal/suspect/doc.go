// Package suspect keeps a request that crashes its upstream from being run
// again and again: at most two upstreams are lost to one request, also when it
// is sent again with a new key through another node.
//
// A crash of an upstream makes every request in flight there a suspect, by its
// fingerprint of organisation and body. The callers of these requests hear of
// the failure only when all other nodes know the suspects, or cannot run
// anything before they have asked; so whoever is sent the request again knows.
// A suspect runs alone, and only when no other node runs it or has an unknown
// part in it. A request that was in flight at two crashes is convicted and
// refused; one that completes is cleared.
//
// A [Tracker] is a core without I/O: events and messages with their time go in
// by its methods, messages and decisions come out of Ready. It has no
// goroutine, clock or lock; one goroutine owns it, or its caller locks.
// docs/design/suspects.md gives the reasons and what is not covered.
package suspect
