package memory

import (
	"sync"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/table"
	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

// Platform is the stand-in platform. It is safe for concurrent use.
type Platform struct {
	settings Settings

	mu      sync.Mutex
	table   *table.Table
	objects map[string][]byte
	vms     *vmlist.List
}

var _ platform.Platform = (*Platform)(nil)

// New returns an empty platform.
func New(opts ...Option) *Platform {
	var s Settings
	for _, opt := range opts {
		opt(&s)
	}
	return &Platform{
		settings: s.withDefaults(),
		table:    table.New(),
		objects:  make(map[string][]byte),
		vms:      vmlist.New(),
	}
}

// Objects implements [platform.Platform].
func (p *Platform) Objects() platform.Objects { return objects{p} }

// VMs implements [platform.Platform].
func (p *Platform) VMs() platform.VMs { return vms{p} }
