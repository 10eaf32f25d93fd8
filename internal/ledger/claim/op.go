package claim

import "time"

// Op is an operation on a log: an entry to write, whose verdict the caller waits for.
type Op struct {
	// Number identifies the operation in its reply. The caller chooses it.
	Number uint64
	Entry  Entry
	// Deadline is when the entry is no longer worth writing. A claim written after
	// its node gave up would block the key for nothing.
	Deadline time.Time

	serial  uint64 // Log.opsAdded after this operation
	addedAt time.Time
}

// Verdict is the result of an operation. Verdicts go between nodes as numbers.
type Verdict uint8

// The verdicts.
const (
	// VerdictGranted means that the claim's attempt holds the key.
	VerdictGranted Verdict = iota + 1
	// VerdictDone means that the settlement or release is in the log.
	VerdictDone
	// VerdictRunning means that another attempt holds the key.
	VerdictRunning
	// VerdictSettled means that an attempt was settled; the settlement is in row
	// Reply.Row.
	VerdictSettled
	// VerdictReused means that the key was claimed for a request with another body.
	VerdictReused
	// VerdictTooOld means that the log of the key was deleted.
	VerdictTooOld
	// VerdictRefused means that the entry was not written and will not be.
	VerdictRefused
	// VerdictRejected means that the entry can never be written: its attempt
	// does not hold the key, or was released.
	VerdictRejected
	// VerdictInDoubt means that the entry may or may not have been written, or may be
	// written later.
	VerdictInDoubt

	// verdictWrite means that the entry must be written to have its verdict. It is
	// never part of a reply.
	verdictWrite
)

var verdictNames = [...]string{"none", "granted", "done", "running", "settled", "reused", "too_old", "refused", "rejected", "in_doubt", "write"}

// String returns the name of the verdict in lower case.
func (v Verdict) String() string { return verdictNames[v] }

// Reply is the reply to an operation.
type Reply struct {
	Number  uint64
	Verdict Verdict
	// Record is the record of the key, without the fields of a settlement.
	Record Record
	// Row is the sequence number of the settlement's row, for VerdictSettled.
	Row uint64
}
