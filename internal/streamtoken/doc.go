// Package streamtoken lets a caller whose connection broke read on through any
// entry node: the caller carries a signed token that says where the stream
// runs and what its bill needs, so that no node has to remember it.
package streamtoken
