package capacity

// Plane tells whether a role counts against the budget.
type Plane string

// The planes.
const (
	// Control roles count against the budget.
	Control Plane = "control"
	// Data roles carry requests and answers; no budget applies.
	Data Plane = "data"
	// Part roles are contained in another role and are not added up.
	Part Plane = "part"
)

// Role is one task of the entry nodes, with its cost.
type Role struct {
	Name  string `json:"name"`
	Plane Plane  `json:"plane"`
	// PerRequest reports whether the network cost grows with requests.
	PerRequest bool `json:"per_request"`
	// State describes what a node stores for the role.
	State string `json:"state"`
	// Mechanism describes how the role is implemented.
	Mechanism string `json:"mechanism"`
	// Average is the mean cost over all nodes, Busiest the cost at the most loaded node, and
	// BusiestNode names that node.
	Average     Cost   `json:"each"`
	Busiest     Cost   `json:"busiest"`
	BusiestNode string `json:"who"`
	// Reads and Writes of the platform's tables, per second, of all nodes together.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// OverBudget explains why the budget is exceeded and what would meet it, or is empty.
	OverBudget string `json:"over,omitempty"`
	// Mitigated is the calculated average cost after that change, not measured. It equals Average
	// if no change is proposed.
	Mitigated Cost `json:"mended"`
}
