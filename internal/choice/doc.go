// Package choice decides which version, or which cascade of versions, runs a request: the
// cheapest mix whose expected quality meets the organisation's target. It estimates
// quality from sampled, late and noisy ratings, bounds the answers of staged versions by
// grants, and holds a version that degrades, so that it gets no new work.
//
// The package does no I/O: each call passes in the time and a random number. Package
// choice/share exchanges summaries, grants and holds with peers and the platform's table.
package choice
