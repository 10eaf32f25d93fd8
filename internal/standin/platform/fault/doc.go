// Package fault decides which calls of the stand-in platform go wrong, and
// how. It holds the settings and a seeded generator; it has no clock and does
// no I/O, and only says what shall happen.
package fault
