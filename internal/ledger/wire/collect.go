package wire

import "github.com/hickorybank/hickorybank/internal/ledger/bill"

// CollectArgs asks a collector to store bills durably.
type CollectArgs struct {
	Bills bill.Columns
	// Offer means that the bills are at risk at the sender, another collector. The receiver
	// declines them if it could not make them safe either.
	Offer bool
}

// CollectReply returns where each bill is kept, in the order of the request.
type CollectReply struct {
	Safety []byte // bill.Safety values
}
