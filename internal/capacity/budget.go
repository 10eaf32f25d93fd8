package capacity

// Budget is what a node may spend on control.
type Budget struct {
	// Processor is the share of one core.
	Processor float64 `json:"processor"`
	// Memory is in bytes.
	Memory float64 `json:"memory"`
	// Network is in bytes a second, sent and received together: the strict
	// reading of "spends".
	Network float64 `json:"network"`
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// LetterBudget is the budget that our users' first letter gives.
func LetterBudget() Budget {
	return Budget{Processor: 0.018, Memory: 32 * megabyte, Network: 6 * kilobyte}
}

// Within says whether a cost keeps to the budget.
func (b Budget) Within(c Cost) bool {
	return c.Processor <= b.Processor && c.Memory <= b.Memory && c.Network <= b.Network
}
