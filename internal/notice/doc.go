// Package notice keeps what upstreams say of themselves in their answers, by start, and
// decides which of two statements is the later. It does no I/O.
package notice
