// Package detect is the sequential test that finds a version which turned bad.
//
// Each rating brings the logarithm of a likelihood ratio: how much likelier its
// score is when the version fell to half its quality than when it is as it has
// been. A [Cusum] adds them up from its last low on. While the version is as it
// has been, the ratio's mean is 1, so that a statistic of h is reached at most
// once in exp(h) ratings on average, whatever the distribution of the scores
// is. Errors are tested in the same way.
package detect
