// Package rollout brings the engines to what the configuration wants: each
// version that may serve is loaded on as many engines as its share needs, and
// a withdrawn version is unloaded once nothing of it runs.
//
// [Machine] decides and does no I/O. [Driver] is the shell around it: any entry
// node may drive, and the one that does holds a row of the platform's table by
// conditional writes. docs/design/rollouts.md gives the ways weighed and the
// measurements.
package rollout
