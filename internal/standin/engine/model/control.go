package model

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Control is the state of an engine that orders change: its loaded and loading versions,
// its role, and the highest fencing token of any order. It is not safe for concurrent
// use.
type Control struct {
	honourFence bool
	fence       uint64
	role        string
	loaded      []string
	loading     []string
}

// Verdict is the result of an order.
type Verdict uint8

const (
	// Applied means that the order is carried out, now or by an earlier order.
	Applied Verdict = iota
	// Fetch means that the caller must fetch the version's weights and then call
	// Fetched or Abandon.
	Fetch
	// Stale means that the order is refused, because an earlier order had a higher
	// fencing token.
	Stale
	// Invalid means that the order has an unknown action or lacks a version or role.
	Invalid
)

// NewControl returns the control of an engine with these versions. With
// honour it refuses orders with an old fencing token; without, it ignores
// the token.
func NewControl(versions []string, honourFence bool) *Control {
	return &Control{honourFence: honourFence, loaded: slices.Clone(versions)}
}

// Apply carries out an order and returns the result.
func (c *Control) Apply(o upstream.Order) Verdict {
	if !validOrder(o) {
		return Invalid
	}
	if c.honourFence && o.Fence < c.fence {
		return Stale
	}
	if c.honourFence {
		c.fence = o.Fence
	}
	switch o.Action {
	case upstream.LoadVersion:
		return c.load(o.Version)
	case upstream.UnloadVersion:
		c.loaded = remove(c.loaded, o.Version)
		c.loading = remove(c.loading, o.Version)
	case upstream.SetRole:
		c.role = o.Role
	}
	return Applied
}

// validOrder reports whether the action is known and has its version or role.
func validOrder(o upstream.Order) bool {
	switch o.Action {
	case upstream.LoadVersion, upstream.UnloadVersion:
		return o.Version != ""
	case upstream.SetRole:
		return o.Role != ""
	}
	return false
}

func (c *Control) load(version string) Verdict {
	if slices.Contains(c.loaded, version) || slices.Contains(c.loading, version) {
		return Applied
	}
	c.loading = append(c.loading, version)
	return Fetch
}

// Fetched makes a loading version loaded, once its weights are fetched. It reports false
// when an unload order has cancelled the load.
func (c *Control) Fetched(version string) bool {
	if !c.Abandon(version) {
		return false
	}
	c.loaded = append(c.loaded, version)
	return true
}

// Abandon cancels the loading of a version. It reports false when the version is not
// loading.
func (c *Control) Abandon(version string) bool {
	if !slices.Contains(c.loading, version) {
		return false
	}
	c.loading = remove(c.loading, version)
	return true
}

// Has reports whether the version is loaded.
func (c *Control) Has(version string) bool { return slices.Contains(c.loaded, version) }

// Versions returns a copy of the list of loaded versions.
func (c *Control) Versions() []string { return slices.Clone(c.loaded) }

// State returns the state that the engine reports. The fencing token is 0 for an engine
// that ignores fencing tokens.
func (c *Control) State() upstream.EngineState {
	return upstream.EngineState{
		Fence:    c.fence,
		Role:     c.role,
		Versions: slices.Clone(c.loaded),
		Loading:  slices.Clone(c.loading),
	}
}

func remove(list []string, version string) []string {
	return slices.DeleteFunc(list, func(v string) bool { return v == version })
}
