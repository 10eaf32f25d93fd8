// Package pacing divides the request rate that an upstream accepts among the nodes, without
// coordination: for each upstream, rendezvous hashing selects a few nodes that send, each
// with an equal part of the rate. It does no I/O.
package pacing
