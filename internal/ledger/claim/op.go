package claim

import "time"

// Op is an entry that somebody waits for.
type Op struct {
	// Number is unique to the log's owner.
	Number uint64
	Entry  Entry
	// Deadline is when it is no longer worth writing. A claim written after
	// its node gave up would bar the key for nothing.
	Deadline time.Time

	added uint64
	came  time.Time
}

// Verdict is what became of an operation.
type Verdict uint8

// The verdicts.
const (
	// VerdictGranted means that the claim's attempt holds the key.
	VerdictGranted Verdict = iota + 1
	// VerdictDone means that the settlement or release is in the log.
	VerdictDone
	// VerdictRunning means that another attempt holds the key.
	VerdictRunning
	// VerdictSettled means that an attempt ended; Reply.Row holds it.
	VerdictSettled
	// VerdictReused means that the key came with another body.
	VerdictReused
	// VerdictTooOld means that the log of the key was deleted.
	VerdictTooOld
	// VerdictRefused means that nothing was written, for certain.
	VerdictRefused
	// VerdictRejected means that the entry can never be written: its attempt
	// does not hold the key, or was released.
	VerdictRejected
	// VerdictInDoubt means that the entry may or may not come into the log.
	VerdictInDoubt

	// verdictWrite means that the entry has to be written first.
	verdictWrite
)

var verdictNames = [...]string{"none", "granted", "done", "running", "settled", "reused", "too_old", "refused", "rejected", "in_doubt", "write"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Reply answers an operation.
type Reply struct {
	Number  uint64
	Verdict Verdict
	// Record is the key's, for claims; without what was settled.
	Record Record
	// Row is the row of the settlement, for VerdictSettled.
	Row uint64
}
