// Package ledger stores the durable state of requests. Claims make sure that
// non-repeatable work runs at most once, and bills that each request is billed exactly
// once. Packages claim and bill make the decisions; this package does their I/O with
// peers, the table and the object store.
package ledger
