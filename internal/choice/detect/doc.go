// Package detect is a sequential test that detects degraded versions.
//
// Each rating contributes the logarithm of a likelihood ratio: how much likelier its
// score is if the version has fallen to half its quality than if it is unchanged. A
// [Cusum] accumulates these values. While the version is unchanged the ratio has mean 1,
// so a statistic of h is reached at most once in exp(h) ratings on average, whatever the
// distribution of the scores. Errors are tested in the same way.
package detect
