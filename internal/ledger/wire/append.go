package wire

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// AppendArgs asks a batcher to bring an entry into a claim log. IDs are slices
// since gob sends arrays of bytes number by number.
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
	// WaitMillis is how long the entry is worth writing.
	WaitMillis int64
}

// Log is the log that is meant.
func (a *AppendArgs) Log() key.Log {
	return key.Log{Kind: key.Kind(a.LogKind), Shard: a.Shard, Bucket: a.Bucket}
}

// AppendReply tells what became of the entry, and of its key.
type AppendReply struct {
	Verdict   uint8
	Print     []byte
	Attempt   string
	Node      string
	AtMillis  int64
	Outcome   request.Outcome
	Answer    []byte
	Bill      bill.Columns
	IsSettled bool
}
