// Package quality estimates the quality of each version's answers for each class, from
// ratings that are sampled, late and noisy.
//
// A [Cell] summarises the ratings of one version for one class with decaying weights.
// Cells of several nodes can be added, so a [Store] keeps the latest cells of each run of
// each node, and merging a summary again changes nothing. An [Estimate] is derived from a
// cell: the mean quality with its standard deviation, the distribution of scores, and the
// part of their spread that is due to the answers and not to the rater's noise.
//
// A run is one process of a node. A fallback answer is the answer of a cascade's second
// version, after the first version's answer was rejected by its rating.
package quality
