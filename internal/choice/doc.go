// Package choice decides which version, or which cascade of versions, runs a
// request: the cheapest mix whose expected quality meets the organisation's
// target. It learns quality from sampled, late and noisy ratings, gives staged
// versions only what they were granted, and holds a version that turns bad.
//
// Everything here is a core without I/O: the time and a random number come in
// with each call, decisions go out. Package choice/share is the shell that
// exchanges summaries, grants and holds with peers and the platform's table.
package choice
