package capacity

// Budget is the limit on what a node may spend on control.
type Budget struct {
	// Processor is a fraction of one core.
	Processor float64 `json:"processor"`
	// Memory is in bytes.
	Memory float64 `json:"memory"`
	// Network is in bytes per second, sent and received together, which is the stricter reading
	// of the budget.
	Network float64 `json:"network"`
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// TargetBudget returns the budget from the users' requirements.
func TargetBudget() Budget {
	return Budget{Processor: 0.018, Memory: 32 * megabyte, Network: 6 * kilobyte}
}

// Within reports whether no part of the cost exceeds the budget.
func (b Budget) Within(c Cost) bool {
	return c.Processor <= b.Processor && c.Memory <= b.Memory && c.Network <= b.Network
}
