// Package secure makes the TLS settings of a node: a certificate towards
// callers and operators, and mutual TLS between entry nodes, so that nobody
// else can speak for one of them.
package secure
