package capacity

// Plane tells what counts against the budget.
type Plane string

// The planes.
const (
	// Control counts against the budget.
	Control Plane = "control"
	// Data is the way of requests and answers themselves.
	Data Plane = "data"
	// Part is contained in another role and not added up.
	Part Plane = "part"
)

// Role is one thing that entry nodes do.
type Role struct {
	Name  string `json:"name"`
	Plane Plane  `json:"plane"`
	// PerRequest says that its network grows with requests.
	PerRequest bool `json:"per_request"`
	// State is what a node keeps for it.
	State string `json:"state"`
	// Mechanism carries it.
	Mechanism string `json:"mechanism"`
	// Each is what it costs a node on average, Busiest the node that it costs
	// most; Who says which one that is.
	Each    Cost   `json:"each"`
	Busiest Cost   `json:"busiest"`
	Who     string `json:"who"`
	// Reads and Writes of the platform's tables, a second, by all nodes
	// together.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// Over says, where the budget is not met, why and what would meet it.
	Over string `json:"over,omitempty"`
	// Mended is what it would then cost a node on average: worked out, not
	// measured. It is Each where nothing is to be mended.
	Mended Cost `json:"mended"`
}
