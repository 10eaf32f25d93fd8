package membership

import "github.com/hickorybank/hickorybank/internal/platform"

// Member is a VM with its state as seen by this node.
type Member struct {
	platform.VM
	State State
	// Load is the load in [0,1] that an entry VM reports.
	Load float64
}
