package wire

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// HoldArgs asks a node to hold a copy of a row.
type HoldArgs struct {
	Writer string
	Seq    uint64
	Kind   byte
	Bucket int64
	Bills  bill.Columns
}

// NewHoldArgs returns the message that asks to hold the row.
func NewHoldArgs(row bill.Row) HoldArgs {
	return HoldArgs{Writer: row.Writer, Seq: row.Seq, Kind: byte(row.Bucket.Kind), Bucket: row.Bucket.Number, Bills: row.Bills}
}

// Row returns the row to hold.
func (a *HoldArgs) Row() bill.Row {
	return bill.Row{Bucket: key.Bucket{Kind: key.Kind(a.Kind), Number: a.Bucket}, Writer: a.Writer, Seq: a.Seq, Bills: a.Bills}
}

// HoldReply answers [HoldArgs].
type HoldReply struct {
	Held bool // false if the node has no room
}

// HeldRowsArgs refreshes or drops the copies that a node holds of a writer's rows.
type HeldRowsArgs struct {
	Writer string
	Rows   Ranges
	// Gone means that the writer stops for good and the holders take the rows over.
	Gone bool
}

// Seqs returns the sequence numbers of the rows.
func (a *HeldRowsArgs) Seqs() []uint64 { return a.Rows.Unpack() }

// HeldRowsReply returns the rows that the node does not hold.
type HeldRowsReply struct {
	Missing Ranges
}
