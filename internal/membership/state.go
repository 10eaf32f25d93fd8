package membership

// State is the state of a VM as seen by this node.
type State uint8

// The states of a VM.
const (
	// Live VMs take new work.
	Live State = iota
	// Leaving VMs take no new work; running work is finished.
	Leaving
	// Suspect VMs were unreachable; they take no new work until they respond or are due for
	// a retry.
	Suspect
)

// String returns "live", "leaving" or "suspect".
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "suspect"
	}
}
