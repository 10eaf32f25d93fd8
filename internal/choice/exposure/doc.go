// Package exposure bounds how many answers a staged version gives.
//
// Until it has enough ratings, a staged version may give only a capped number of answers
// over all nodes together. Its [Row] in the platform's table counts the units granted.
// The [Account] of the responsible node allocates small parts of the cap by conditional
// writes, so that two nodes that both consider themselves responsible never exceed the
// cap together. A node spends its grants from a [Budget] and exposes the version only
// while it has some. Units that a crashed node had left are lost, not granted again.
package exposure
