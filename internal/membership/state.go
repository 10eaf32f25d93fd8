package membership

// State is what this node thinks of a VM.
type State uint8

// The states of a VM.
const (
	// Live VMs take new work.
	Live State = iota
	// Leaving VMs take no new work; what runs there is finished.
	Leaving
	// Suspect VMs could not be reached; they take no new work.
	Suspect
)

// String returns the state's name.
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
