// Package explain holds the question where a request would go now, and a node's answer. The
// node's decision code computes the answer; the package only carries it.
package explain
