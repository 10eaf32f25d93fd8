// Package hedge decides how long an attempt at a plain service waits for its answer before it
// counts as silent. A silent attempt that may be repeated is left, and its request goes to
// another upstream; one that may run once only is not, but its upstream is avoided.
//
// The package has no I/O and is not safe for concurrent use.
package hedge
