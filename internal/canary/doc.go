// Package canary brings a new version of a service into use, or turns away
// from it, by what its answers show.
//
// An operator orders a version with a time limit. In the first half a fixed
// small share of the sessions goes to it; every node counts its answers beside
// the old version's and tells its peers. When the evidence says that the
// version is bad, all nodes leave it. Else its share grows in steps, and the
// roll-out is complete when the old version has no work left.
//
// It is a core without I/O: orders, answers, peers' tallies and times go in,
// versions and decisions come out. The decision itself is a conditional write
// that its owner makes; the first writer wins.
package canary
