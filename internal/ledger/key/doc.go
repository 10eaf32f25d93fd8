// Package key says where the claim and the bill of a request's key are kept.
// The place is a function of the organisation and the key alone, so that all
// nodes agree on it without talking.
package key
