// Package peer makes calls between the router's own processes over net/rpc.
//
// A call fails in one of two ways. After [ErrNotSent] no byte has reached the peer. After
// [ErrUnknown] the call may have taken effect although no response arrived, so that only
// idempotent calls may be retried.
package peer
