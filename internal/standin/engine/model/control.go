package model

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Control is what an engine does with orders: which versions it has, which it
// is loading, its role, and the highest fencing number it has seen.
type Control struct {
	honour  bool
	fence   uint64
	role    string
	loaded  []string
	loading []string
}

// Verdict is what became of an order.
type Verdict uint8

// The verdicts.
const (
	// Taken: the order is done, or has been done before.
	Taken Verdict = iota
	// Fetch: the version's weights have to be fetched; then call Fetched.
	Fetch
	// Stale: refused, because a higher fencing number was seen.
	Stale
	// Invalid: the order says nothing that an engine can do.
	Invalid
)

// NewControl returns the control of an engine with these versions. With
// honour it refuses orders with an old fencing number; without, it ignores
// the number.
func NewControl(versions []string, honour bool) *Control {
	return &Control{honour: honour, loaded: slices.Clone(versions)}
}

// Take carries out an order.
func (c *Control) Take(o upstream.Order) Verdict {
	if !valid(o) {
		return Invalid
	}
	if c.honour && o.Fence < c.fence {
		return Stale
	}
	if c.honour {
		c.fence = o.Fence
	}
	switch o.Action {
	case upstream.LoadVersion:
		return c.load(o.Version)
	case upstream.UnloadVersion:
		c.loaded = without(c.loaded, o.Version)
		c.loading = without(c.loading, o.Version)
	case upstream.SetRole:
		c.role = o.Role
	}
	return Taken
}

func valid(o upstream.Order) bool {
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
		return Taken
	}
	c.loading = append(c.loading, version)
	return Fetch
}

// Fetched says that the version's weights are here. It reports false when an
// unload order came meanwhile.
func (c *Control) Fetched(version string) bool {
	if !c.Abandon(version) {
		return false
	}
	c.loaded = append(c.loaded, version)
	return true
}

// Abandon ends the loading of a version without it. It reports false when the
// version was not being loaded.
func (c *Control) Abandon(version string) bool {
	if !slices.Contains(c.loading, version) {
		return false
	}
	c.loading = without(c.loading, version)
	return true
}

// Has reports whether the version is loaded.
func (c *Control) Has(version string) bool { return slices.Contains(c.loaded, version) }

// Versions returns the loaded versions.
func (c *Control) Versions() []string { return slices.Clone(c.loaded) }

// State returns what the engine says it has. An engine that ignores fencing
// numbers remembers none.
func (c *Control) State() upstream.EngineState {
	return upstream.EngineState{
		Fence:    c.fence,
		Role:     c.role,
		Versions: slices.Clone(c.loaded),
		Loading:  slices.Clone(c.loading),
	}
}

func without(list []string, version string) []string {
	return slices.DeleteFunc(list, func(v string) bool { return v == version })
}
