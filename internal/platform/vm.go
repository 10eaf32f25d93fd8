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

// VMState is the state of a VM as reported by the platform.
type VMState string

// The states of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's VM list. The list lags behind: a listed VM may no
// longer exist, and a new one may not be listed yet.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is the name of the plain service that a VM with RoleService runs.
	Service string `json:"service,omitempty"`
	// Addr is the IP address and port for callers (entry) or for requests (upstream).
	Addr string `json:"addr"`
	// Peer is the IP address and port of an entry VM for other entry VMs.
	Peer          string  `json:"peer,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	// List returns the list, which lags behind the actual VMs.
	List(ctx context.Context) ([]VM, error)
}

// ConditionalVMs is a VM list that supports conditional reads.
type ConditionalVMs interface {
	VMs
	// ListIfChanged returns the list unless it still has the given tag. With an empty tag
	// it always returns the list.
	ListIfChanged(ctx context.Context, tag string) (TaggedVMs, error)
}

// TaggedVMs is the result of a conditional read of the VM list.
type TaggedVMs struct {
	VMs []VM
	// Tag identifies this state of the list; empty if the platform does not support
	// tags.
	Tag string
	// Unchanged means that the list still has the given tag; then VMs is not set.
	Unchanged bool
	// Unreadable describes the entries that are left out because they cannot be decoded.
	Unreadable []error
}
