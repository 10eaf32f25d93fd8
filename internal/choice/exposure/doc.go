// Package exposure keeps how many answers a staged version gives.
//
// Before its ratings are in, a staged version may give at most so many answers
// over all nodes together. Its [Row] in the platform's table counts what was
// granted; the [Account] of the node that hands out grants takes small amounts
// from it by conditional writes, so that two nodes which both believe that it
// is their duty never grant more than the cap together. A node spends what it
// was granted out of its [Purse] and gives no exposure without. What a node
// that crashes had left is lost, not granted again.
package exposure
