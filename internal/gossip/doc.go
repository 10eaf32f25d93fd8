// Package gossip keeps the nodes of a deployment informed of each other and of
// what each has learned, without a call a request and without a message
// between all pairs: every node exchanges news with a few others in turn.
//
// A [Roster] is a core without I/O: members and times go in, who lives comes
// out. A [Peer] carries the messages by net/rpc.
package gossip
