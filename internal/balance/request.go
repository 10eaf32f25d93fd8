package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request asks for an upstream. Either Version (model work) or Service (a call
// of a plain service) is set.
type Request struct {
	Version string
	Service string
	// PrefixHash identifies the prompt's shared prefix; 0 has none.
	PrefixHash uint64
	Kind       config.Kind
	// Exclude names VMs not to choose, such as those already tried.
	Exclude []string
	// Alone asks for an upstream with as little other work as there is, and
	// keeps other work of this node away from it until Done: for a request
	// suspected of crashing upstreams.
	Alone bool
	Now   time.Time
	// Random is a fresh random number.
	Random uint64
}
