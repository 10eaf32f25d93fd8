// Package suspect limits the damage of a request that crashes its upstream: at most two
// upstreams are lost to one request, even if it is sent again with a new key through
// another node.
//
// A crash of an upstream makes every request in flight there a suspect, identified by a
// fingerprint of organisation and body. The failure of such a request is reported to its
// caller only when every other node either knows the suspect or must ask a peer before it
// runs anything. So any node that gets the request again knows of it. A suspect runs
// alone, and only when no other node runs it or may have run it unseen. A request that
// was in flight at two crashes is convicted and refused. One that completes is cleared.
//
// A [Tracker] does no I/O: events and messages go in by its methods together with their
// time, messages and decisions come out of Ready. It has no goroutine, clock or lock; one
// goroutine owns it, or its caller locks. docs/design/suspects.md gives the reasons and
// the cases that are not covered.
package suspect
