// Package gossip spreads membership and shared state between the nodes of a deployment. Each
// node exchanges messages with a few others in turn, so that requests need no extra calls
// and nodes need no message between every pair.
//
// A [Roster] tracks the members and does no I/O. [Server] and [Client] exchange the messages
// over net/rpc.
package gossip
