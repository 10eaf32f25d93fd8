// Package share carries version choice between nodes: summaries of ratings,
// grants of exposure, and holds. It is the shell around package choice.
//
// Nodes form groups: all of them when they are few, else those of a failure
// domain. For each version one node of a group collects the summaries of the
// others and answers each with what all the rest have seen; which one is
// decided by rendezvous hashing, and two that both collect do no harm. No node
// talks to all others, but for the rare moment when it raises a hold.
//
// Three kinds of rows stand in the platform's table, each written only under
// the condition that nobody wrote it since it was read: "hold/VERSION",
// "exposure/VERSION", and "quality/VERSION/GROUP", which carries ratings from
// group to group and over the loss of all nodes.
package share
