// Package share exchanges version-choice state between nodes: summaries of ratings,
// grants of exposure, and holds. It does the I/O for package choice.
//
// Nodes form groups: a small cluster is one group, a larger one has a group per failure
// domain. For each version, one node of a group collects the summaries of the others and
// answers each with what all others have observed. The collector is chosen by rendezvous
// hashing; two nodes that both collect do no harm. A node calls all others of its group
// only to notify them of a new or lifted hold.
//
// The platform's table has three kinds of rows, each written only if it is unchanged
// since it was read: "hold/VERSION", "exposure/VERSION" and "quality/VERSION/GROUP". The
// last carries ratings between groups and preserves them when all nodes are lost.
package share
