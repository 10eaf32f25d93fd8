package upstream

// OrderAction is what an engine is told to do.
type OrderAction string

// The orders that engines take.
const (
	LoadVersion   OrderAction = "load"
	UnloadVersion OrderAction = "unload"
	SetRole       OrderAction = "role"
)

// Order tells an engine to load or unload a version or to change its role.
// Some engines refuse a fence lower than the highest they have seen; others
// ignore it.
type Order struct {
	Fence   uint64      `json:"fence"`
	Action  OrderAction `json:"action"`
	Version string      `json:"version,omitempty"`
	Role    string      `json:"role,omitempty"`
}

// EngineState is what an engine says it has, read back after an order.
type EngineState struct {
	Fence    uint64   `json:"fence"`
	Role     string   `json:"role"`
	Versions []string `json:"versions"`
	Loading  []string `json:"loading,omitempty"`
}
