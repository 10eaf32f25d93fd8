package wire

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// AppendArgs asks a batcher to append an entry to a claim log. IDs are slices because
// gob encodes byte arrays element by element. See claim.Entry for the fields from Kind
// to Bill.
type AppendArgs struct {
	LogKind byte
	Shard   int
	Bucket  int64
	Kind    uint8
	ID      []byte
	Attempt []byte
	Print   []byte
	Node    string
	Outcome request.Outcome
	Answer  []byte
	Bill    bill.Columns
	// WaitMillis is how long the batcher may keep trying to write the entry, in
	// milliseconds.
	WaitMillis int64
}

// Log returns the log to append to.
func (a *AppendArgs) Log() key.Log {
	return key.Log{Kind: key.Kind(a.LogKind), Shard: a.Shard, Bucket: a.Bucket}
}

// AppendReply returns the verdict on the entry, and the record of its key.
type AppendReply struct {
	Verdict uint8 // a claim.Verdict
	Print   []byte
	Attempt string
	Node    string
	// AtMillis is when the key was claimed, in milliseconds since 1970.
	AtMillis  int64
	Outcome   request.Outcome
	Answer    []byte
	Bill      bill.Columns
	IsSettled bool
}
