// Package rank orders nodes for a duty by rendezvous hashing. The order only
// decides who bothers: nodes that see different members may pick differently,
// which must be harmless to whoever uses it.
package rank
