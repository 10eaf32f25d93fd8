// Package key computes where the claim and the bill of a request's key are stored.
// The location of a claim depends only on the organisation and the key, so all
// nodes compute the same one without coordination.
package key
