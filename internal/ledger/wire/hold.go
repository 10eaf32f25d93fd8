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

// NewHoldArgs returns the message for a row.
func NewHoldArgs(row bill.Row) HoldArgs {
	return HoldArgs{Writer: row.Writer, Seq: row.Seq, Kind: byte(row.Bucket.Kind), Bucket: row.Bucket.Number, Bills: row.Bills}
}

// Row is the row that is meant.
func (a *HoldArgs) Row() bill.Row {
	return bill.Row{Bucket: key.Bucket{Kind: key.Kind(a.Kind), Number: a.Bucket}, Writer: a.Writer, Seq: a.Seq, Bills: a.Bills}
}

// HoldReply says whether the copy is held.
type HoldReply struct {
	Held bool
}

// PiecesArgs names rows of a writer that a node holds copies of.
type PiecesArgs struct {
	Writer string
	Rows   Ranges
	// Gone says that the writer stops for good; the holders take over.
	Gone bool
}

// Seqs returns the rows' numbers.
func (a *PiecesArgs) Seqs() []uint64 { return a.Rows.Unpack() }

// PiecesReply names those that it does not hold.
type PiecesReply struct {
	Missing Ranges
}
