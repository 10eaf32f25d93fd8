package claim

// State is the result of a claim.
type State int

// The possible results of a claim.
const (
	// Granted means that this attempt, and no other, may run.
	Granted State = iota + 1
	// Running means that another attempt holds the key and has not ended.
	Running
	// Settled means that another attempt ended; the record has its outcome.
	Settled
	// Unknown means that another attempt holds the key and its process is lost. The
	// key is never granted again.
	Unknown
	// KeyReused means that the key was claimed before with another body.
	KeyReused
	// KeyTooOld means that the key's time lies before the retention window of keys.
	KeyTooOld
	// KeyInvalid means that the key's time lies in the future.
	KeyInvalid
)

var stateNames = [...]string{"none", "granted", "running", "settled", "unknown", "key_reused", "key_too_old", "key_invalid"}

// String returns the name of the state in lower case.
func (s State) String() string { return stateNames[s] }

// Result is the result of a [Request].
type Result struct {
	State State
	// Record is the key's record for Running, Settled, Unknown and KeyReused.
	Record Record
	// CopyInFlight means that another attempt holds the key, but a copy of this claim may
	// still be written later. If the other attempt is released, the copy may then take
	// the key for a short time. The ledger releases this attempt too, without a call by
	// the claimant.
	CopyInFlight bool
}
