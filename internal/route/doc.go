// Package route holds the changing configuration of forwarded requests: which
// host and path leads to which service, what may be repeated there, and whose
// key may ask. A [Table] is immutable; a change makes a new one.
package route
