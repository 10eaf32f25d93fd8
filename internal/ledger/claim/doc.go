// Package claim decides who may run work that may not be repeated. Claims are
// entries of append-only logs in the platform's table; a row of a log is
// created under the condition that it is absent, by a writer that has read all
// rows before it. The package does no I/O.
package claim
