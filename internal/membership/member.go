package membership

import "github.com/hickorybank/hickorybank/internal/platform"

// Member is a VM and what this node thinks of it.
type Member struct {
	platform.VM
	State State
	// Load in [0,1] is what an entry VM reports of itself.
	Load float64
}
