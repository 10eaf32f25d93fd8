// Package rank selects nodes for a duty by rendezvous hashing. Nodes with different
// member lists may select different nodes, so callers must not rely on a duty having
// only one holder.
package rank
