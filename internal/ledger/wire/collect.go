package wire

import "github.com/hickorybank/hickorybank/internal/ledger/bill"

// CollectArgs asks a collector to store bills durably.
type CollectArgs struct {
	Bills bill.Columns
}

// CollectReply returns where each bill is kept, in the order of the request.
type CollectReply struct {
	Safety []byte // bill.Safety values
}
