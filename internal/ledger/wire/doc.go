// Package wire holds the messages between the ledgers of the nodes. They go
// over net/rpc; every call may be repeated without harm.
package wire
