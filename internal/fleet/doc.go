// Package fleet holds a node's view of the upstreams that register themselves in the
// platform's table. It chooses an upstream for each attempt.
//
// It does no I/O: its methods take records, results of attempts and times, and return
// choices. It has no goroutine, clock or lock of its own; the caller serializes access.
package fleet
