// Package canary decides whether a new version of a service replaces the old one, by
// comparing the answers of both.
//
// An operator orders a version with a time limit. In the first half of the limit a small
// fixed share of the sessions goes to the new version. Every node counts the answers of
// both versions and sends its counts to its peers. If the new version is worse, all nodes
// return to the old one. Otherwise its share grows in steps, and the rollout is complete
// when the old version has no requests in flight.
//
// The package does no I/O: orders, answers, peers' tallies and times go in, versions and
// verdicts come out. The caller records the verdict by a conditional write; the first
// writer wins.
package canary
