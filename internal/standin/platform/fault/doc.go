// Package fault decides which calls to the stand-in platform fail, and how. It
// holds the fault settings and a seeded random generator. It has no clock and does
// no I/O: the caller carries out the decisions.
package fault
