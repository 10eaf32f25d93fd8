package claim

// State is what became of a claim.
type State int

// The states.
const (
	// Granted means that this attempt, and no other, may run.
	Granted State = iota + 1
	// Running means that another attempt holds the key and has not ended.
	Running
	// Settled means that another attempt ended; its record holds the outcome.
	Settled
	// Unknown means that another attempt held the key and vanished. The key
	// is never granted again.
	Unknown
	// KeyReused means that the key came before with another body.
	KeyReused
	// KeyTooOld means that the key's time lies before the window in which
	// keys are kept.
	KeyTooOld
	// KeyInvalid means that the key's time lies in the future.
	KeyInvalid
)

var stateNames = [...]string{"none", "granted", "running", "settled", "unknown", "key_reused", "key_too_old", "key_invalid"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Result answers a [Request].
type Result struct {
	State State
	// Record is the key's record for Running, Settled, Unknown and KeyReused.
	Record Record
	// Doubted says that a copy of the claim may still be on its way, though
	// the key is held by another attempt. Should that one be released, the
	// copy may take the key for a moment, until the ledger, which does so
	// without being asked, has released this attempt too.
	Doubted bool
}
