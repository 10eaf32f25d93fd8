// Package confsync brings each accepted configuration into force on every
// entry node, and keeps a node from admitting new work under a configuration
// that may have been replaced.
//
// A few nodes of each failure domain read the head row of the platform's
// table; the others pull from them along a tree by long polling. Every answer
// carries a proof: at an instant, named by its age and never by a clock
// reading, the head was this revision. A node whose youngest proof is older
// than a bound refuses new work. docs/design/configuration.md gives the ways
// weighed and the measurements.
//
// [Core] decides and does no I/O; [Syncer] is the shell around it.
package confsync
