// Package pacing shares what an upstream bears among nodes that agree without talking: a few
// of them by rendezvous hashing send, each its part of the rate. It does no I/O.
package pacing
