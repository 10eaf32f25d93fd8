// Package fleet keeps what a node knows of the upstreams that register
// themselves in the platform's table, and chooses one for each attempt.
//
// It is a core without I/O: rows, results of attempts and times go in by its
// methods, choices come out. It has no goroutine, clock or lock of its own;
// its owner locks.
package fleet
