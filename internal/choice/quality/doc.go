// Package quality estimates how good the answers of each version are for each
// class, from ratings that are sampled, late and noisy.
//
// A [Cell] sums up the ratings of one version for one class with decaying
// weight. Cells of several nodes add up, so a [Store] keeps the latest summary
// of each run of each node, and merging one again changes nothing. An
// [Estimate] is what a planner reads out of a cell: the mean with its standard
// deviation, the distribution of scores, and how much of their spread is the
// answers' own and not the rater's noise.
package quality
