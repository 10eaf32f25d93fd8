// Package rollout loads and unloads versions on the engines until they match the
// configuration. Each version that may serve is loaded on as many engines as its share
// needs. A withdrawn version is unloaded once none of its requests run.
//
// [Machine] makes the decisions and does no I/O. [Driver] connects it to the table and
// the engines. Any entry node may drive; the one that does holds a lease on a row of the
// platform's table, taken and renewed by conditional writes. docs/design/rollouts.md
// compares the alternatives and lists the measurements.
package rollout
