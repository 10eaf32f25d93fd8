// Package wire defines the messages that the ledgers of the nodes exchange over
// net/rpc. All calls are idempotent.
package wire
