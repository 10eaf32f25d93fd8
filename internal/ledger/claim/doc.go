// Package claim grants the right to run non-repeatable work to exactly one attempt per
// key. Claims are entries of append-only logs in the platform's table. A writer creates
// a row of a log on condition that it is absent, after it has read all earlier rows.
// The package does no I/O.
package claim
