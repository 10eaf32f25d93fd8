package platform

import "context"

// Role is what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VMState is what the platform says of a VM.
type VMState string

// The states of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list. The list lags: a VM may be gone, or
// present and not yet listed.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is the plain service that a VM of RoleService offers.
	Service string `json:"service,omitempty"`
	// Addr is the IP and port for callers (entry) or for requests (upstream).
	Addr string `json:"addr"`
	// Peer is an entry VM's IP and port for its peers.
	Peer          string  `json:"peer,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMs is the platform's lagging list of live and leaving VMs.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}

// ConditionalVMs is a VM list that can say that nothing changed.
type ConditionalVMs interface {
	VMs
	// ListUnless reads the list unless its tag is still the one given; an
	// empty tag always reads it.
	ListUnless(ctx context.Context, tag string) (TaggedVMs, error)
}

// TaggedVMs is the answer to a conditional read of the VM list.
type TaggedVMs struct {
	VMs []VM
	// Tag names this state of the list; a platform that names none leaves it
	// empty.
	Tag string
	// Unchanged says that the list still has the tag that was given; VMs is
	// not set then.
	Unchanged bool
}
