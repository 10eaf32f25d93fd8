package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request asks for an upstream. Either Version (for model work) or Service (for a call of
// a plain service) is set.
type Request struct {
	Version string
	Service string
	// PrefixHash identifies the prompt's shared prefix; 0 means none.
	PrefixHash uint64
	Kind       config.Kind
	// Exclude lists the IDs of VMs that must not be chosen, such as those already tried.
	Exclude []string
	// Isolated is set for a request that is suspected of crashing upstreams. It goes to
	// an upstream with as little other work as possible. Until Done, this node sends
	// other work there only when no other upstream is left.
	Isolated bool
	Now      time.Time
	// Random is a fresh random number.
	Random uint64
}
