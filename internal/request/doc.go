// Package request holds what one request of a caller is and how it may end.
//
// An outcome is one of three: completed, not run, unknown. "Not run" is said
// only when no byte of the request can have reached an upstream that could run
// it, or when the upstream's own contract says so. In doubt it is unknown.
package request
