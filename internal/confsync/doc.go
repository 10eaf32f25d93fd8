// Package confsync distributes each accepted configuration to all entry nodes, and keeps a
// node from admitting new work under a configuration that may have been replaced.
//
// A few nodes of each failure domain, its readers, read the head row of the platform's table.
// The others pull from them along a tree by long polling. Each response carries a proof: the
// head had this revision at an instant, which is given as an age and never as a clock
// reading. A node whose latest proof is older than a bound refuses new work.
// docs/design/configuration.md describes the alternatives and the measurements.
//
// [Core] makes the decisions and does no I/O. [Syncer] runs it and performs the I/O.
package confsync
