package wire

import "github.com/hickorybank/hickorybank/internal/ledger/bill"

// CollectArgs asks a collector to make bills safe.
type CollectArgs struct {
	Bills bill.Columns
}

// CollectReply says for each bill where it is kept.
type CollectReply struct {
	Safety []byte
}
