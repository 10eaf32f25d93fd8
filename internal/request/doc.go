// Package request defines a caller's request, its answer and its possible outcomes.
//
// There are three outcomes: completed, not run and unknown. A request counts as not run only
// when no byte of it can have reached an upstream that could run it, or when the upstream's
// contract guarantees it. In doubt the outcome is unknown.
package request
