// Package peer carries calls between the router's own processes over net/rpc.
//
// A call fails in one of two ways: [ErrNotSent], when no byte can have reached
// the peer, and [ErrUnknown], when the peer may have acted although no answer
// came. Callers must not repeat the second kind blindly.
package peer
