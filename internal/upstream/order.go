package upstream

// OrderAction is the action of an [Order].
type OrderAction string

// The actions that engines support.
const (
	LoadVersion   OrderAction = "load"
	UnloadVersion OrderAction = "unload"
	SetRole       OrderAction = "role"
)

// Order is a command to an engine to load or unload a version or to change its role.
type Order struct {
	// Fence is the fencing token. Some engines refuse an order with a lower token than
	// the highest they have seen; others ignore it.
	Fence  uint64      `json:"fence"`
	Action OrderAction `json:"action"`
	// Version is set for LoadVersion and UnloadVersion.
	Version string `json:"version,omitempty"`
	// Role is set for SetRole.
	Role string `json:"role,omitempty"`
}

// EngineState is the state that an engine reports, read back after an order.
type EngineState struct {
	// Fence is the highest fencing token that the engine has seen.
	Fence uint64 `json:"fence"`
	Role  string `json:"role"`
	// Versions are the loaded versions.
	Versions []string `json:"versions"`
	// Loading are the versions that are being loaded.
	Loading []string `json:"loading,omitempty"`
}
