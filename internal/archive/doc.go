// Package archive keeps a document that nodes have to share, and makes what a peer
// needs to come from the state that it has to the newest one: the elements of the
// document's lists that differ, with a digest of the whole result, or the whole,
// packed. A change of one organisation among 1,000 costs 352 B in place of 83,967.
package archive
