package rollout

import (
	"context"

	"github.com/rotisserie/eris"
)

// Driver drives the roll-outs when it falls to this node.
type Driver struct {
	settings Settings
	deps     Deps
}

// New returns a Driver that is not yet started.
func New(s Settings, d Deps) *Driver { return &Driver{settings: s, deps: d} }

// Start begins to drive.
func (d *Driver) Start() error { return eris.New("roll-outs: not driven yet") }

// Close ends the driving and waits for it, or for the end of ctx. The engines
// stay as they are; another node goes on.
func (d *Driver) Close(context.Context) error { return nil }

// Rollouts reads how far the versions are from the row of the table.
func (d *Driver) Rollouts(context.Context) ([]Status, error) {
	return nil, eris.New("roll-outs: not driven yet")
}
