// Package secure builds the TLS configurations of a node: server certificates for
// callers and operators, and mutual TLS between entry nodes, so that no other process
// can impersonate an entry node.
package secure
