// Package relay reaches upstreams through peers while this node's own links to them are lost.
//
// Only the connection goes through a peer: the node keeps the request, its choice of an
// upstream, its limits and its outcome. A relayed connection carries one request. A peer
// connects only to upstreams in its own list, only for nodes that it knows, and never through
// a third node.
//
// [Dialer] tries the direct way first and a peer shortly after. What both ways show tells a lost
// link from an upstream that is down: only where the peer fails as well, the upstream is at fault.
package relay
