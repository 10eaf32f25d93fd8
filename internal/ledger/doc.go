// Package ledger keeps what must last of a request: claims, so that work that
// may not be repeated runs at most once, and bills, so that each request is
// billed exactly once. It is the shell around the decisions of packages claim
// and bill: it carries them to peers, the table and the object store.
package ledger
